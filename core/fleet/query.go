package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// Members returns all members, in order of failure domain and name.
func (r *Roster) Members() []Member {
	var all []Member
	for _, d := range r.Domains() {
		all = append(all, r.rolls[d].members...)
	}
	return all
}

// Domains returns the failure domains known, in order.
func (r *Roster) Domains() []model.Domain { return slices.Sorted(maps.Keys(r.rolls)) }

// Roll returns the roll of a failure domain.
func (r *Roster) Roll(d model.Domain) Roll {
	roll := r.rolls[d]
	roll.domain = d
	return roll
}

// Changes returns a number that grows with each change of the roster.
func (r *Roster) Changes() uint64 { return r.count }

// Dead reports whether the process that announced a member is proven to have
// ended.
func (r *Roster) Dead(m Member) bool { return r.dead[m.born] }

// Living returns the members that are not proven to have ended.
func (r *Roster) Living() []Member {
	return slices.DeleteFunc(r.Members(), r.Dead)
}

// Find returns the member with the given name.
func (r *Roster) Find(name model.Instance) (Member, bool) {
	m, ok := r.names[name]
	return m, ok
}

// Digest is a hash over the versions of all rolls. Two rosters with the same
// digest hold the same rolls.
func (r *Roster) Digest() uint64 {
	var sum uint64
	for d, roll := range r.rolls {
		sum += xxhash.Sum64String(string(d)) * (roll.version + 1)
	}
	return sum
}

// Ranked returns the members of a failure domain that are not proven to have
// ended and not leaving, in rendezvous order: the order depends on the names
// alone, and the loss of a member moves only those behind it.
func (r *Roster) Ranked(d model.Domain) []Member {
	if list, ok := r.order[d]; ok {
		return list
	}
	list := slices.DeleteFunc(slices.Clone(r.rolls[d].members), func(m Member) bool { return m.leaving || r.Dead(m) })
	Rank(list)
	if r.order == nil {
		r.order = map[model.Domain][]Member{}
	}
	r.order[d] = list
	return list
}

// Rank puts members into rendezvous order.
func Rank(list []Member) {
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.name, b.name))
	})
}

func score(m Member) uint64 { return xxhash.Sum64String(string(m.domain) + "/" + string(m.name)) }

// Serving reports whether the configuration and the member itself let it take
// new work.
func Serving(c *conf.Config, m Member) bool {
	return !m.leaving && !c.Domain(m.domain).Out() && !c.Target(m.name).Out()
}

// ByService returns the members that take new work, by service.
func ByService(c *conf.Config, members []Member) map[model.Service][]Member {
	all := map[model.Service][]Member{}
	for _, m := range members {
		if Serving(c, m) {
			all[m.service] = append(all[m.service], m)
		}
	}
	return all
}
