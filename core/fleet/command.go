package fleet

import (
	"slices"

	"anvilstand/core/model"
)

// Replace sets the roll of one failure domain, unless a later one is known.
func (r *Roster) Replace(roll Roll) {
	old := r.rolls[roll.domain]
	if roll.version <= old.version {
		return
	}
	if r.rolls == nil {
		r.rolls = map[model.Domain]Roll{}
		r.names = map[model.Instance]Member{}
	}
	for _, m := range old.members {
		if r.names[m.name].domain == roll.domain {
			delete(r.names, m.name)
		}
	}
	for _, m := range roll.members {
		if !r.dead[m.born] {
			r.names[m.name] = m
		}
	}
	r.rolls[roll.domain] = roll
	r.count++
	delete(r.order, roll.domain)
}

// Announce adds a member to a list. It takes the place of what its process
// announced before, and of an earlier process at its address.
func Announce(list []Member, m Member) []Member {
	list = slices.DeleteFunc(slices.Clone(list), func(o Member) bool {
		return o.name == m.name && (o.born == m.born || o.address == m.address)
	})
	return append(list, m)
}

// Retire removes the process that announced a member from a list.
func Retire(list []Member, m Member) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(o Member) bool { return byName(o, m) == 0 })
}

// maxDead bounds the memory of processes that have ended. When it is full, the
// memory starts anew: a process forgotten is found to have ended again.
const maxDead = 4096

// Bury notes that the process recorded at an address has ended, and reports
// whether that is news.
func (r *Roster) Bury(address string, process model.Incarnation) (Member, bool) {
	if process == 0 || r.dead[process] {
		return Member{}, false
	}
	for _, roll := range r.rolls {
		m, ok := Recorded(roll.members, address)
		if !ok || m.born != process {
			continue
		}
		if r.dead == nil || len(r.dead) >= maxDead {
			r.dead = map[model.Incarnation]bool{}
		}
		r.dead[process] = true
		r.rename(m.name)
		r.count++
		delete(r.order, m.domain)
		return m, true
	}
	return Member{}, false
}

// rename finds anew which living process a name stands for.
func (r *Roster) rename(name model.Instance) {
	delete(r.names, name)
	for _, roll := range r.rolls {
		for _, m := range roll.members {
			if m.name == name && !r.dead[m.born] {
				r.names[name] = m
			}
		}
	}
}

// Raise notes that a process thought to have ended lives: it has been heard, or
// recorded anew.
func (r *Roster) Raise(m Member) {
	if !r.dead[m.born] {
		return
	}
	delete(r.dead, m.born)
	delete(r.order, m.domain)
	r.count++
	r.rename(m.name)
}
