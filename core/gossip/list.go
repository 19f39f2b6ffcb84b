package gossip

import (
	"slices"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// TakeMemberList takes the member list of a failure domain and forwards the
// difference from the known one. It ignores a list that isn't newer. Any list of
// the own domain, even an empty one, lets this daemon become a watcher. A list from after
// a restore of the store may be an older copy and is no evidence that a process runs.
func (n *Node) TakeMemberList(now model.Instant, list fleet.MemberList, out *peer.Outbox) {
	n.ownListSeen = n.ownListSeen || list.Domain() == n.self.Domain()
	old := n.membership.MemberList(list.Domain())
	n.noteMissing(now, list, old)
	if list.Version() <= old.Version() {
		return
	}
	n.membership.SetMemberList(list)
	delta := list.DeltaFrom(old)
	if old.Version() > 0 && model.EraOf(list.Version()) > model.EraOf(old.Version()) {
		n.takeRestored(now, old, list, delta)
	} else {
		n.takeChanges(old, delta)
	}
	n.keepDelta(delta)
	n.forward(now, peer.NewMemberDelta(delta), out)
	if list.Domain() == n.self.Domain() && n.ticks > 0 {
		n.announce(now, out) // not only at the next tick: members that start together must find each other
	}
}

// takeChanges takes the difference from an older list. A process that a newer list adds or
// changes is taken to run.
func (n *Node) takeChanges(old fleet.MemberList, delta fleet.Delta) {
	if old.Version() == 0 {
		return
	}
	for _, m := range delta.Joined() {
		delete(n.removed, m.Incarnation())
		n.membership.MarkAlive(m)
		n.membership.WithdrawRefusal(m)
	}
	for _, m := range delta.Left() {
		if n.removed == nil || len(n.removed) >= maxContacts {
			n.removed = map[model.Incarnation]bool{}
		}
		n.removed[m.Incarnation()] = true
	}
}

// takeRestored takes a list from after a restore of the store, which may be an older copy:
// processes that were removed before get no requests unless they are heard from. The own
// failure domain's list is edited to be what was known.
func (n *Node) takeRestored(now model.Instant, old, list fleet.MemberList, delta fleet.Delta) {
	for _, m := range delta.Joined() {
		if n.removed[m.Incarnation()] {
			n.membership.MarkRefused(m.Address(), m.Incarnation(), now.Add(RefusalTime))
		}
	}
	if list.Domain() == n.self.Domain() {
		n.rebuildList(now, old, list)
	}
}

// noteMissing records whether the store lacks the list of the own failure domain, which
// is known here: it was restored from an older copy.
func (n *Node) noteMissing(now model.Instant, list, old fleet.MemberList) {
	if list.Domain() != n.self.Domain() {
		return
	}
	if list.Version() > 0 || old.Version() == 0 {
		n.missingSince = 0
	} else if n.missingSince == 0 {
		n.missingSince = now
	}
}

// rebuildList adds the edits that make a list from after a restore of the store that
// which was known before: members that it lacks are added, those that had been removed or
// are known to have ended are removed. An entry that was not known under the name of a
// missing member is of an earlier or a later process; it stays unless that is known to
// have ended, and a living process announces itself.
func (n *Node) rebuildList(now model.Instant, old, list fleet.MemberList) {
	for _, m := range list.Members() {
		if n.membership.Ended(m) || n.removed[m.Incarnation()] {
			n.addListEdit(now, listEdit{member: m, remove: true})
		}
	}
	for _, m := range old.Members() {
		if n.membership.IsLeftOut(m) {
			continue
		}
		present, ok := list.Find(m)
		if ok && (present == m || present.Leaving()) {
			continue
		}
		if !ok && slices.ContainsFunc(list.Members(), func(o fleet.Member) bool {
			return o.Name() == m.Name() && o.Address() == m.Address() && !n.membership.Ended(o)
		}) {
			continue
		}
		n.addListEdit(now, listEdit{member: m})
	}
}

// NoteDamaged records that something of a stored member list did not decode. A watcher
// of its failure domain replaces it by the list that is known.
func (n *Node) NoteDamaged(now model.Instant, list fleet.MemberList) {
	if list.Domain() == n.self.Domain() && list.Version() != n.damaged.version {
		n.damaged = damagedList{version: list.Version(), readAt: now}
	}
}

// keepDelta keeps a change of a member list for members that are behind.
func (n *Node) keepDelta(delta fleet.Delta) {
	if n.deltas == nil {
		n.deltas = map[model.Domain][]fleet.Delta{}
	}
	deltas := append(n.deltas[delta.Domain()], delta)
	n.deltas[delta.Domain()] = deltas[max(0, len(deltas)-maxDeltas):]
}

// dropRemoval drops the pending removal of a process from the member list.
func (n *Node) dropRemoval(process model.Incarnation) {
	for key, e := range n.pendingEdits {
		if e.remove && key.process == process {
			delete(n.pendingEdits, key)
		}
	}
}

// addListEdit adds a pending change of the member list, unless there are
// maxContacts. It replaces an earlier one about the same process.
func (n *Node) addListEdit(now model.Instant, e listEdit) {
	key := memberKeyOf(e.member)
	old, ok := n.pendingEdits[key]
	if ok && old.member == e.member && old.remove == e.remove {
		return
	}
	if len(n.pendingEdits) >= maxContacts {
		return
	}
	if n.pendingEdits == nil {
		n.pendingEdits = map[memberKey]listEdit{}
	}
	e.addedAt = now
	n.pendingEdits[key] = e
}
