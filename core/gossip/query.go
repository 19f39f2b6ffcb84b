package gossip

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

// Snapshot returns a snapshot of the configuration in force.
func (n *Node) Snapshot() change.Snapshot { return n.history.Snapshot() }

// Membership returns the membership.
func (n *Node) Membership() *fleet.Membership { return &n.membership }

// RefusedCount returns the number of entries and snapshots that were refused, and of
// snapshots that could not be encoded or decoded.
func (n *Node) RefusedCount() uint64 { return n.refusedCount }

// IsolatedFor returns the time since the failure domain last heard from the store
// or another domain, as far as this daemon knows.
func (n *Node) IsolatedFor(now model.Instant) time.Duration { return now.Sub(n.lastContactOutside) }

// Freshness returns what this daemon knows of a configuration outside of anvilstand.
func (n *Node) Freshness(now model.Instant) peer.Freshness {
	return peer.NewFreshness(n.external.version, now.Sub(n.external.confirmedAt))
}

// DomainCoverage returns the coverage last received from another failure domain. It
// returns false if there is none.
func (n *Node) DomainCoverage(d model.Domain) (DomainCoverage, bool) {
	latest, ok := n.domainCoverages[d]
	return latest, ok
}

// rendezvousOrder returns the members of the own failure domain in rendezvous
// order, without those that this daemon suspects, and its own index among them.
// It is always among them.
func (n *Node) rendezvousOrder(now model.Instant) ([]fleet.Member, int) {
	if !n.order.valid || n.order.changes != n.membership.Changes() {
		n.order = n.newOrder(now)
	}
	return n.order.members, n.order.index
}

// newOrder computes the order that rendezvousOrder caches.
func (n *Node) newOrder(now model.Instant) memberOrder {
	order := memberOrder{changes: n.membership.Changes(), valid: true}
	found := false
	for _, m := range n.domainMembers() {
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
	order.index = slices.IndexFunc(order.members, func(m fleet.Member) bool { return m.Name() == n.self.Name() })
	return order
}

// domainMembers returns the members of the own failure domain that are neither leaving nor
// refuse connections, in rendezvous order. One whose process has ended counts until the
// list has its successor: the proof of its end is that another process answers at its
// address. Without that, each daemon of a fleet that restarts finds all others ended and
// counts itself as a watcher. Should the successor have another name, the member is soon
// suspected.
func (n *Node) domainMembers() []fleet.Member {
	list := n.membership.MemberList(n.self.Domain()).Members()
	replaced := map[model.Instance]bool{}
	for _, m := range list {
		replaced[m.Name()] = replaced[m.Name()] || !n.membership.Ended(m)
	}
	list = slices.DeleteFunc(slices.Clone(list), func(m fleet.Member) bool {
		return m.Leaving() || n.membership.Refused(m) || (n.membership.Ended(m) && replaced[m.Name()])
	})
	fleet.SortRendezvous(list)
	return list
}

// isSuspected reports whether a member has recently left a heartbeat unanswered
// and not been heard since.
func (n *Node) isSuspected(now model.Instant, name model.Instance) bool {
	c, ok := n.contacts[name]
	return ok && c.suspect && now.Before(c.suspectedAt.Add(SuspicionTime))
}

// WatcherIndex returns this daemon's index among the watchers of its failure
// domain, and whether it is one of them. A daemon is no watcher while it is
// leaving, or before it has seen the member list of its domain.
func (n *Node) WatcherIndex(now model.Instant) (int, bool) {
	if n.self.Leaving() || !n.ownListSeen {
		return 0, false
	}
	_, i := n.rendezvousOrder(now)
	return i, i < WatchersPerDomain
}

// parents returns the indexes of the two members that forward to the member at
// index; the first one also detects its failure. For the first FanOut members below
// the watchers the second parent is the other watcher, and for the rest the neighbour
// before the first parent, or after it if the first parent comes right after the
// watchers. With two watchers and a FanOut of 32, members 2 to 33 are below both
// watchers, 34 to 65 below 2 and 3, and 66 to 97 below 3 and 2. It returns false for
// the watchers, which have no parents.
func parents(index int) (first, second int, ok bool) {
	if index < WatchersPerDomain {
		return 0, 0, false
	}
	below := index - WatchersPerDomain
	if below < FanOut {
		return below % WatchersPerDomain, (below + 1) % WatchersPerDomain, true
	}
	first = WatchersPerDomain + below/FanOut - 1
	if first == WatchersPerDomain {
		return first, first + 1, true
	}
	return first, first - 1, true
}

// children returns the indexes, below count, of the members whose first parent
// is at index.
func children(index, count int) []int {
	low, high, step := WatchersPerDomain+(index-WatchersPerDomain+1)*FanOut, WatchersPerDomain+(index-WatchersPerDomain+2)*FanOut, 1
	if index < WatchersPerDomain {
		low, high, step = WatchersPerDomain+index, WatchersPerDomain+FanOut, WatchersPerDomain
	}
	var indexes []int
	for i := low; i < min(high, count); i += step {
		indexes = append(indexes, i)
	}
	return indexes
}

// receivers returns the indexes, below count, of the members whose first or
// second parent is at index: the inverse of parents.
func receivers(index, count int) []int {
	if index < WatchersPerDomain {
		var indexes []int
		for i := WatchersPerDomain; i < min(WatchersPerDomain+FanOut, count); i++ {
			indexes = append(indexes, i)
		}
		return indexes
	}
	indexes := append(children(index, count), children(index+1, count)...)
	if index == WatchersPerDomain+1 {
		indexes = append(indexes, children(WatchersPerDomain, count)...)
	}
	return indexes
}

// DesiredMemberList returns the failure domain's member list with the pending edits
// applied, and whether that differs from the known list. It returns false if
// this daemon is no watcher. A list that the store lacks has version zero. The second
// watcher leaves out recent edits, so that the first one can write them without a conflict.
func (n *Node) DesiredMemberList(now model.Instant) (fleet.MemberList, bool) {
	list := n.membership.MemberList(n.self.Domain())
	index, ok := n.WatcherIndex(now)
	if !ok {
		return list, false
	}
	members := list.Members()
	delay := time.Duration(index) * secondWriterDelay
	changed := n.damaged.version > 0 && n.damaged.version == list.Version() && !now.Before(n.damaged.readAt.Add(delay))
	version := list.Version()
	if n.missingSince != 0 && !now.Before(n.missingSince.Add(delay)) {
		version, changed = 0, true
	}
	for _, e := range n.pendingEdits {
		if e.isApplied(list) || now.Before(e.addedAt.Add(delay)) {
			continue
		}
		changed = true
		members = e.apply(members)
	}
	return fleet.NewMemberList(list.Domain(), version, members), changed
}

// secondWriterDelay is the time that the second watcher leaves the first to
// write an edit.
const secondWriterDelay = 2 * time.Second

// isApplied reports whether the member list already has the edit.
func (e listEdit) isApplied(list fleet.MemberList) bool {
	m, ok := list.Find(e.member)
	if e.remove {
		return !ok
	}
	return ok && m == e.member
}

// apply returns members with the edit made.
func (e listEdit) apply(members []fleet.Member) []fleet.Member {
	if e.remove {
		return fleet.RemoveMember(members, e.member)
	}
	return fleet.AddMember(members, e.member)
}

// coverageMaxAge is how long the coverage received from a member is counted.
const coverageMaxAge = 5 * time.Second

// subtreeCoverage returns the coverage of this daemon and those below it in the
// tree. Members without a recent coverage are not counted.
func (n *Node) subtreeCoverage(now model.Instant) peer.Coverage {
	sum := peer.NewCoverage(1, n.history.Revision())
	members, index := n.rendezvousOrder(now)
	for _, i := range children(index, len(members)) {
		sum = n.addCoverage(now, members[i].Name(), sum)
	}
	return sum
}

// addCoverage adds the coverage of a member to sum, if there is a recent one.
func (n *Node) addCoverage(now model.Instant, name model.Instance, sum peer.Coverage) peer.Coverage {
	c, ok := n.contacts[name]
	if !ok || c.coverage.Daemons() == 0 || now.Sub(c.coverageAt) > coverageMaxAge {
		return sum
	}
	return sum.Add(c.coverage)
}

// Coverage returns the coverage of this daemon. At a watcher it counts all
// daemons of the failure domain that answer, at another daemon those of its
// subtree.
func (n *Node) Coverage(now model.Instant) peer.Coverage {
	sum := n.subtreeCoverage(now)
	members, index := n.rendezvousOrder(now)
	for i := range min(WatchersPerDomain, len(members)) {
		if index < WatchersPerDomain && i != index {
			sum = n.addCoverage(now, members[i].Name(), sum)
		}
	}
	return sum
}
