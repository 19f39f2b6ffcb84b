package gossip

import (
	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// TakeEntry takes a committed entry of the configuration history and forwards it.
// An entry that doesn't follow the revision in force is refused (a gap). One
// that has no effect gives an error too, but is forwarded since it makes a
// revision.
func (n *Node) TakeEntry(now model.Instant, e change.Entry, out *peer.Outbox) error {
	before := n.history.Revision()
	err := n.history.TakeEntry(e)
	if n.history.Revision() > before {
		n.forward(now, peer.NewEntries([]change.Entry{e}, n.history.Revision()), out)
	}
	if err != nil {
		return n.countRefused(err)
	}
	return nil
}

// TakeSnapshot takes a snapshot of the configuration. It is not forwarded: members
// that are behind are sent the configuration in response to their heartbeats.
func (n *Node) TakeSnapshot(snapshot change.Snapshot) error {
	if err := n.history.TakeSnapshot(snapshot); err != nil {
		return n.countRefused(err)
	}
	return nil
}

// countRefused counts a refused entry or snapshot and returns its error. A gap is
// not counted: the missing entries are requested.
func (n *Node) countRefused(err error) error {
	if !errors.Is(err, change.ErrGap) {
		n.refusedCount++
	}
	return err
}

// StoreReached records that the store answered.
func (n *Node) StoreReached(now model.Instant) { n.lastContactOutside = now }

// Leave begins the planned stop: the daemon announces that it is leaving.
func (n *Node) Leave(now model.Instant, out *peer.Outbox) {
	n.self = n.self.AsLeaving()
	n.order.valid = false
	n.announce(now, out)
}

// SetVersion sets the version of the target beside this daemon, and has the watchers
// list it.
func (n *Node) SetVersion(now model.Instant, version string, out *peer.Outbox) {
	if n.self.Version() == version {
		return
	}
	n.self = n.self.WithVersion(version)
	n.order.valid = false
	n.announce(now, out)
}

// Tick sends the heartbeats and announcements that are due, and detects members
// that don't answer. It has to be called about once a second.
func (n *Node) Tick(now model.Instant, out *peer.Outbox) {
	n.ticks++
	n.sweep(now)
	n.expireRefusals(now)
	n.order.valid = false
	n.announce(now, out)
	members, index := n.rendezvousOrder(now)
	hb := n.heartbeat(now).WithCoverage(n.subtreeCoverage(now))
	if first, second, ok := parents(index); ok {
		n.probeParents(now, [2]model.Instance{members[first].Name(), members[min(second, len(members)-1)].Name()}, hb, out)
	}
	if index < WatchersPerDomain {
		n.probeOtherDomains(now, hb.WithCoverage(n.Coverage(now)), out)
		n.probeRefused(now, out)
		for i := range min(WatchersPerDomain, len(members)) {
			if i != index {
				n.probe(now, members[i].Name(), hb, out)
			}
		}
	}
	n.reportAbsent(now, members, index, out)
}
