package fleet

import (
	"cmp"
	"slices"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// Members returns all members, in order of failure domain and name.
func (r *Roster) Members() []Member {
	var all []Member
	for _, list := range r.domains {
		all = append(all, list...)
	}
	slices.SortFunc(all, byDomain)
	return all
}

// Dead reports whether the process that announced a member is proven to have
// ended.
func (r *Roster) Dead(m Member) bool { return r.dead[m.born] }

// Living returns the members that are not proven to have ended.
func (r *Roster) Living() []Member {
	return slices.DeleteFunc(r.Members(), r.Dead)
}

// Find returns the member with the given name.
func (r *Roster) Find(name model.Instance) (Member, bool) {
	for _, list := range r.domains {
		for _, m := range list {
			if m.name == name {
				return m, true
			}
		}
	}
	return Member{}, false
}

func byDomain(a, b Member) int {
	return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.name, b.name))
}

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
