package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// Members returns all members, sorted by failure domain and name.
func (ms *Membership) Members() []Member {
	var all []Member
	for _, d := range ms.Domains() {
		all = append(all, ms.lists[d].members...)
	}
	return all
}

// Domains returns the known failure domains, sorted.
func (ms *Membership) Domains() []model.Domain { return slices.Sorted(maps.Keys(ms.lists)) }

// MemberList returns the member list of a failure domain. For an unknown domain it
// is empty and at version zero.
func (ms *Membership) MemberList(d model.Domain) MemberList {
	list := ms.lists[d]
	list.domain = d
	return list
}

// Changes returns a counter that grows with each change of the membership.
func (ms *Membership) Changes() uint64 { return ms.changes }

// Ended reports whether the process that announced a member is known to have
// ended.
func (ms *Membership) Ended(m Member) bool { return ms.ended[m.incarnation] }

// Refused reports whether a member is left out because connections to its process
// are refused.
func (ms *Membership) Refused(m Member) bool {
	_, ok := ms.refused[m.incarnation]
	return ok
}

// IsLeftOut reports whether a member gets no requests and takes no part in gossip:
// its process has ended, or connections to it are refused.
func (ms *Membership) IsLeftOut(m Member) bool { return ms.Ended(m) || ms.Refused(m) }

// HasRefused reports whether any process has the mark of MarkRefused.
func (ms *Membership) HasRefused() bool { return len(ms.refused) > 0 }

// LeftOut returns the members for which IsLeftOut holds.
func (ms *Membership) LeftOut() []Member {
	return slices.DeleteFunc(ms.Members(), func(m Member) bool { return !ms.IsLeftOut(m) })
}

// Reachable returns the members for which IsLeftOut does not hold.
func (ms *Membership) Reachable() []Member {
	return slices.DeleteFunc(ms.Members(), ms.IsLeftOut)
}

// Alive returns the members whose process is not known to have ended.
func (ms *Membership) Alive() []Member {
	return slices.DeleteFunc(ms.Members(), ms.Ended)
}

// Find returns the member with the given name whose process is not known to have
// ended.
func (ms *Membership) Find(name model.Instance) (Member, bool) {
	m, ok := ms.byName[name]
	return m, ok
}

// Digest returns a hash over the versions of all member lists. Peers compare it
// to find out whether they have the same lists.
func (ms *Membership) Digest() uint64 {
	var sum uint64
	for d, list := range ms.lists {
		sum += xxhash.Sum64String(string(d)) * (list.version + 1)
	}
	return sum
}

// RendezvousOrder returns the members of a failure domain that are neither
// left out nor leaving, in rendezvous order (by a hash of domain and
// name, as in rendezvous hashing): the order depends on the names alone, and the
// loss of a member moves only those after it.
func (ms *Membership) RendezvousOrder(d model.Domain) []Member {
	if list, ok := ms.ordered[d]; ok {
		return list
	}
	list := slices.DeleteFunc(slices.Clone(ms.lists[d].members), func(m Member) bool { return m.leaving || ms.IsLeftOut(m) })
	SortRendezvous(list)
	if ms.ordered == nil {
		ms.ordered = map[model.Domain][]Member{}
	}
	ms.ordered[d] = list
	return list
}

// SortRendezvous sorts members into rendezvous order.
func SortRendezvous(list []Member) {
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.name, b.name))
	})
}

// RendezvousFraction returns the member's place in rendezvous order as a number from 0 to
// 1, where the first members are. It needs no knowledge of others.
func (m Member) RendezvousFraction() float64 { return float64(score(m)>>11) / (1 << 53) }

// score is the hash by which rendezvous order sorts, the lowest first.
func score(m Member) uint64 { return xxhash.Sum64String(string(m.domain) + "/" + string(m.name)) }

// Serving reports whether a member may take new work: it is not leaving, and
// the configuration has neither its target nor its failure domain out of
// service.
func Serving(c *conf.Config, m Member) bool {
	return !m.leaving && !c.Domain(m.domain).Out() && !c.Target(m.name).Out()
}

// ByService returns the members that may take new work, by service.
func ByService(c *conf.Config, members []Member) map[model.Service][]Member {
	all := map[model.Service][]Member{}
	for _, m := range members {
		if Serving(c, m) {
			all[m.service] = append(all[m.service], m)
		}
	}
	return all
}
