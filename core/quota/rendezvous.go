package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// score is the hash of a name for an organisation in rendezvous hashing, also
// called highest random weight hashing: the name with the highest score comes
// first.
func score(org model.Org, name string) uint64 { return xxhash.Sum64String(string(org) + "/" + name) }

// memberIndexOf returns the place of this daemon among the members of its domain
// for the lease, zero for the first. Members that have ended are left out.
func (mgr *Manager) memberIndexOf(org model.Org) int {
	own := score(org, string(mgr.self.name))
	n := 0
	for _, m := range mgr.members {
		if m.Name() != mgr.self.name && !mgr.ended[m.Incarnation()] && score(org, string(m.Name())) > own {
			n++
		}
	}
	return n
}

// rankOf returns the place of this daemon among the members of its domain for the lease,
// zero for the first. Members that have ended count, as their successors do not know
// each other yet.
func (mgr *Manager) rankOf(org model.Org) int {
	own := score(org, string(mgr.self.name))
	n := 0
	for _, m := range mgr.members {
		if m.Name() != mgr.self.name && score(org, string(m.Name())) > own {
			n++
		}
	}
	return n
}

// domainIndexOf returns the place of this daemon's domain, zero for the first.
// Domains read an organisation's record for the first time in this order.
func (mgr *Manager) domainIndexOf(org model.Org) int {
	own := score(org, string(mgr.domain))
	n := 0
	for _, other := range mgr.domains {
		if other != mgr.domain && score(org, string(other)) > own {
			n++
		}
	}
	return n
}

// firstCandidates returns the first candidate of each other domain. One that has ended
// counts: its successor listens at the address.
func (mgr *Manager) firstCandidates(org model.Org) []fleet.Member {
	best := map[model.Domain]fleet.Member{}
	for _, m := range mgr.others {
		if b, ok := best[m.Domain()]; !ok || score(org, string(m.Name())) > score(org, string(b.Name())) {
			best[m.Domain()] = m
		}
	}
	first := make([]fleet.Member, 0, len(best))
	for _, m := range mgr.others {
		if best[m.Domain()] == m {
			first = append(first, m)
		}
	}
	return first
}

// membersByScore returns the members of this daemon's domain, the first one first.
func (mgr *Manager) membersByScore(org model.Org) []fleet.Member {
	members := slices.Clone(mgr.members)
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Compare(score(org, string(b.Name())), score(org, string(a.Name())))
	})
	return members
}

// memberAt returns the member of this daemon's domain, which may be itself, at a
// place, counted from zero. The index wraps around. Unlike in
// memberIndexOf, members that have ended count.
func (mgr *Manager) memberAt(org model.Org, index int) (Holder, bool) {
	members := mgr.membersByScore(org)
	if len(members) == 0 {
		return Holder{}, false
	}
	m := members[index%len(members)]
	return Holder{name: m.Name(), address: m.Address(), incarnation: m.Incarnation()}, true
}

// targetWeight returns the weight, in millionths, that the lease of this
// daemon's domain should have. The burst of an organisation is not split into
// parts of less than minLeaseBurst, so that a small organisation has leases in
// some domains only.
func (mgr *Manager) targetWeight(q *orgQuota) int {
	domains := slices.Clone(mgr.domains)
	for _, lease := range q.record.leases {
		if !slices.Contains(domains, lease.domain) {
			domains = append(domains, lease.domain)
		}
	}
	parts := max(1, min(len(domains), int(q.burst/minLeaseBurst)))
	slices.SortFunc(domains, func(x, y model.Domain) int {
		return cmp.Compare(score(q.org, string(y)), score(q.org, string(x)))
	})
	if !slices.Contains(domains[:min(parts, len(domains))], mgr.domain) {
		return 0
	}
	return FullWeight / parts
}
