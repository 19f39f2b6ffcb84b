package fleet

import (
	"slices"
	"time"

	"anvilstand/core/model"
)

// SetMemberList sets the member list of one failure domain, unless the known
// one has the same or a higher version.
func (ms *Membership) SetMemberList(list MemberList) {
	old := ms.lists[list.domain]
	if list.version <= old.version {
		return
	}
	if ms.lists == nil {
		ms.lists = map[model.Domain]MemberList{}
		ms.byName = map[model.Instance]Member{}
	}
	for _, m := range old.members {
		if ms.byName[m.name].domain == list.domain {
			delete(ms.byName, m.name)
		}
	}
	for _, m := range list.members {
		if !ms.ended[m.incarnation] {
			ms.byName[m.name] = m
		}
	}
	ms.lists[list.domain] = list
	ms.changes++
	delete(ms.ordered, list.domain)
}

// AddMember returns list with m added. It replaces an entry of the same name
// that is of the same process, or of an earlier process at the same address.
func AddMember(list []Member, m Member) []Member {
	list = slices.DeleteFunc(slices.Clone(list), func(o Member) bool {
		return o.name == m.name && (o.incarnation == m.incarnation || o.address == m.address)
	})
	return append(list, m)
}

// RemoveMember returns list without the entry of the process that announced m.
func RemoveMember(list []Member, m Member) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(o Member) bool { return compareMembers(o, m) == 0 })
}

// maxEnded bounds the set of processes known to have ended. A full set is
// emptied: the end of a process that was in it is then detected again.
const maxEnded = 4096

// MarkEnded marks the process recorded at an address as ended, and returns its
// member. It returns false and changes nothing if the end is known already, or
// if no member list has this process at the address.
func (ms *Membership) MarkEnded(address string, process model.Incarnation) (Member, bool) {
	if process == 0 || ms.ended[process] {
		return Member{}, false
	}
	for _, list := range ms.lists {
		m, ok := FindByAddress(list.members, address)
		if !ok || m.incarnation != process {
			continue
		}
		if ms.ended == nil || len(ms.ended) >= maxEnded {
			ms.ended = map[model.Incarnation]bool{}
		}
		ms.ended[process] = true
		delete(ms.refused, process)
		ms.refreshName(m.name)
		ms.changes++
		delete(ms.ordered, m.domain)
		return m, true
	}
	return Member{}, false
}

// MarkRefused leaves the process recorded at an address out until a time, because
// connections to it are refused. It returns the member, and false if no member list
// has this process at the address, if it is known to have ended, or if it is left
// out already until minRefusalExtension before that time.
func (ms *Membership) MarkRefused(address string, process model.Incarnation, until model.Instant) (Member, bool) {
	if process == 0 || ms.ended[process] {
		return Member{}, false
	}
	previous, marked := ms.refused[process]
	if marked && until.Sub(previous) < minRefusalExtension {
		return Member{}, false
	}
	for _, list := range ms.lists {
		m, ok := FindByAddress(list.members, address)
		if !ok || m.incarnation != process {
			continue
		}
		if ms.refused == nil || len(ms.refused) >= maxEnded {
			ms.refused = map[model.Incarnation]model.Instant{}
		}
		ms.refused[process] = until
		if !marked {
			ms.changes++
			delete(ms.ordered, m.domain)
		}
		return m, true
	}
	return Member{}, false
}

// minRefusalExtension is the least time by which MarkRefused lengthens an earlier
// mark, so that each of many refusals is not forwarded.
const minRefusalExtension = 2 * time.Second

// WithdrawRefusal withdraws the mark of MarkRefused from the process of m, which has
// been heard from. It returns false if there was none.
func (ms *Membership) WithdrawRefusal(m Member) bool {
	if _, ok := ms.refused[m.incarnation]; !ok {
		return false
	}
	delete(ms.refused, m.incarnation)
	delete(ms.ordered, m.domain)
	ms.changes++
	return true
}

// ExpireRefusals withdraws the marks of MarkRefused whose time is over, and returns
// the processes that had them.
func (ms *Membership) ExpireRefusals(now model.Instant) []model.Incarnation {
	var expired []model.Incarnation
	for process, until := range ms.refused {
		if now.Before(until) {
			continue
		}
		expired = append(expired, process)
		delete(ms.refused, process)
		clear(ms.ordered)
		ms.changes++
	}
	return expired
}

// refreshName updates which member a name stands for, leaving out processes
// that have ended.
func (ms *Membership) refreshName(name model.Instance) {
	delete(ms.byName, name)
	for _, list := range ms.lists {
		for _, m := range list.members {
			if m.name == name && !ms.ended[m.incarnation] {
				ms.byName[name] = m
			}
		}
	}
}

// MarkAlive withdraws the mark of MarkEnded from the process of m. It is called when
// a newer member list adds or changes the member, so that the process is taken to
// run after all.
func (ms *Membership) MarkAlive(m Member) {
	if !ms.ended[m.incarnation] {
		return
	}
	delete(ms.ended, m.incarnation)
	delete(ms.ordered, m.domain)
	ms.changes++
	ms.refreshName(m.name)
}
