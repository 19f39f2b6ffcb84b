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
