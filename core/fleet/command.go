package fleet

import (
	"cmp"
	"slices"

	"anvilstand/core/model"
)

// Replace sets the members of one failure domain.
func (r *Roster) Replace(domain model.Domain, members []Member) {
	if r.domains == nil {
		r.domains = map[model.Domain][]Member{}
	}
	r.domains[domain] = slices.Clone(members)
}

// Announce adds a member to a list or replaces the one with its name.
func Announce(list []Member, m Member) []Member {
	list = Retire(list, m.name)
	list = append(list, m)
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.name, b.name) })
	return list
}

// Retire removes a member from a list.
func Retire(list []Member, name model.Instance) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.name == name })
}

// maxDead bounds the memory of processes that have ended. When it is full, the
// memory starts anew: a process forgotten is found to have ended again.
const maxDead = 4096

// Bury notes that the process recorded at an address has ended.
func (r *Roster) Bury(address string, process model.Incarnation) {
	if process == 0 {
		return
	}
	if r.dead == nil || len(r.dead) >= maxDead {
		r.dead = map[model.Incarnation]bool{}
	}
	for _, list := range r.domains {
		if m, ok := Recorded(list, address); ok && m.born == process {
			r.dead[process] = true
		}
	}
}
