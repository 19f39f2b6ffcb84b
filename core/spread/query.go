package spread

import (
	"slices"
	"time"

	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Self returns this daemon as a member.
func (n *Node) Self() fleet.Member { return n.self }

// Config returns the configuration in force at this daemon.
func (n *Node) Config() *conf.Config { return n.history.Config() }

// Entries returns the newest entries of the configuration history, the oldest
// first.
func (n *Node) Entries() []change.Entry { return n.history.Entries() }

// Base returns a snapshot of the configuration in force.
func (n *Node) Base() change.Base { return n.history.BaseOf() }

// Roster returns the membership.
func (n *Node) Roster() *fleet.Membership { return &n.membership }

// Faults returns the number of entries and bases that were refused, and of
// bases that could not be encoded or decoded.
func (n *Node) Faults() uint64 { return n.faults }

// Outside returns the time since the failure domain last heard from the store
// or another domain.
func (n *Node) Outside(now model.Instant) time.Duration { return now.Sub(n.lastOutside) }

// Heard returns the summary last received from another failure domain. It
// returns false if there is none.
func (n *Node) Heard(d model.Domain) (Heard, bool) {
	h, ok := n.otherDomains[d]
	return h, ok
}

// rendezvousOrder returns the members of the own failure domain in rendezvous
// order, without those that this daemon suspects, and its own position among
// them. It is always among them.
func (n *Node) rendezvousOrder(now model.Instant) ([]fleet.Member, int) {
	if !n.order.valid || n.order.changes != n.membership.Changes() {
		n.order = n.newOrder(now)
	}
	return n.order.members, n.order.position
}

// newOrder computes the order that rendezvousOrder caches.
func (n *Node) newOrder(now model.Instant) memberOrder {
	order := memberOrder{changes: n.membership.Changes(), valid: true}
	found := false
	for _, m := range n.membership.RendezvousOrder(n.self.Domain()) {
		if m.Name() == n.self.Name() {
			m, found = n.self, true
		} else if n.isSuspected(now, m.Name()) {
			continue
		}
		order.members = append(order.members, m)
	}
	if !found {
		order.members = append(order.members, n.self)
		fleet.SortRendezvous(order.members)
	}
	order.position = slices.IndexFunc(order.members, func(m fleet.Member) bool { return m.Name() == n.self.Name() })
	return order
}

// isSuspected reports whether a member has recently left a heartbeat unanswered
// and not been heard since.
func (n *Node) isSuspected(now model.Instant, name model.Instance) bool {
	c, ok := n.contacts[name]
	return ok && c.suspect && now.Before(c.suspectedAt.Add(SuspicionTime))
}

// Rank returns this daemon's position among the watchers of its failure domain,
// and whether it is one of them. A daemon is no watcher while it is leaving, or
// before it has seen the record of its domain.
func (n *Node) Rank(now model.Instant) (int, bool) {
	if n.self.Leaving() || !n.domainKnown {
		return 0, false
	}
	_, i := n.rendezvousOrder(now)
	return i, i < WatchersPerDomain
}

// parents returns the positions of the two members that forward to a position;
// the first one also detects its failure. It returns false for the watchers,
// which have no parents.
func parents(position int) (first, second int, ok bool) {
	if position < WatchersPerDomain {
		return 0, 0, false
	}
	below := position - WatchersPerDomain
	if below < FanOut {
		return below % WatchersPerDomain, (below + 1) % WatchersPerDomain, true
	}
	first = WatchersPerDomain + below/FanOut - 1
	if first == WatchersPerDomain {
		return first, first + 1, true
	}
	return first, first - 1, true
}

// children returns the positions that have a position as their first parent.
func children(position, count int) []int {
	low, high, step := WatchersPerDomain+(position-WatchersPerDomain+1)*FanOut, WatchersPerDomain+(position-WatchersPerDomain+2)*FanOut, 1
	if position < WatchersPerDomain {
		low, high, step = WatchersPerDomain+position, WatchersPerDomain+FanOut, WatchersPerDomain
	}
	var positions []int
	for i := low; i < min(high, count); i += step {
		positions = append(positions, i)
	}
	return positions
}

// receivers returns the positions that have a position as their first or second
// parent.
func receivers(position, count int) []int {
	if position < WatchersPerDomain {
		var positions []int
		for i := WatchersPerDomain; i < min(WatchersPerDomain+FanOut, count); i++ {
			positions = append(positions, i)
		}
		return positions
	}
	positions := append(children(position, count), children(position+1, count)...)
	if position == WatchersPerDomain+1 {
		positions = append(positions, children(WatchersPerDomain, count)...)
	}
	return positions
}

// Record returns the failure domain's record with the pending edits applied,
// and whether that differs from the known record. It returns false if this
// daemon is no watcher. The second watcher leaves out recent edits, so that the
// first one can write them without a conflict.
func (n *Node) Record(now model.Instant) (fleet.Roll, bool) {
	record := n.membership.Roll(n.self.Domain())
	index, ok := n.Rank(now)
	if !ok {
		return record, false
	}
	members := record.Members()
	changed := false
	for _, e := range n.edits {
		if e.isRecorded(record) || now.Before(e.addedAt.Add(time.Duration(index)*secondWriterDelay)) {
			continue
		}
		changed = true
		members = e.apply(members)
	}
	return fleet.NewRoll(record.Domain(), record.Version(), members), changed
}

// secondWriterDelay is the time that the second watcher leaves the first to
// write an edit.
const secondWriterDelay = 2 * time.Second

// isRecorded reports whether the record already has the edit.
func (e edit) isRecorded(r fleet.Roll) bool {
	m, ok := r.Find(e.member)
	if e.remove {
		return !ok
	}
	return ok && m == e.member
}

// apply returns members with the edit made.
func (e edit) apply(members []fleet.Member) []fleet.Member {
	if e.remove {
		return fleet.RemoveMember(members, e.member)
	}
	return fleet.AddMember(members, e.member)
}

// coverageMaxAge is how long a summary received from a member is counted.
const coverageMaxAge = 5 * time.Second

// subtreeCoverage returns the summary of this daemon and those below it in the
// tree. Members without a recent summary are not counted.
func (n *Node) subtreeCoverage(now model.Instant) peer.Covered {
	sum := peer.NewCovered(1, n.history.Revision())
	members, position := n.rendezvousOrder(now)
	for _, i := range children(position, len(members)) {
		sum = n.addCoverage(now, members[i].Name(), sum)
	}
	return sum
}

// addCoverage adds the summary of a member to sum, if there is a recent one.
func (n *Node) addCoverage(now model.Instant, name model.Instance, sum peer.Covered) peer.Covered {
	c, ok := n.contacts[name]
	if !ok || c.coverage.Daemons() == 0 || now.Sub(c.coverageAt) > coverageMaxAge {
		return sum
	}
	return sum.Add(c.coverage)
}

// Covered returns the summary of the daemons of the failure domain that this
// one speaks for. At a watcher these are all that answer, at another daemon
// those of its subtree.
func (n *Node) Covered(now model.Instant) peer.Covered {
	sum := n.subtreeCoverage(now)
	members, position := n.rendezvousOrder(now)
	for i := range min(WatchersPerDomain, len(members)) {
		if position < WatchersPerDomain && i != position {
			sum = n.addCoverage(now, members[i].Name(), sum)
		}
	}
	return sum
}
