package gossip

import (
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// NoteExternal records that the store has just confirmed a version of the
// configuration outside of anvilstand to be that of its last change. Those below this
// daemon in the tree are told of a new version at once, of others by heartbeats.
func (n *Node) NoteExternal(now model.Instant, version uint64, out *peer.Outbox) {
	n.updateExternal(now, peer.NewFreshness(version, 0), out)
}

// updateExternal takes a freshness. One of an older version says nothing of later ones.
func (n *Node) updateExternal(now model.Instant, f peer.Freshness, out *peer.Outbox) {
	x := &n.external
	if f.Version() == 0 || f.Version() < x.version {
		return
	}
	changed := f.Version() > x.version
	x.version, x.confirmedAt = f.Version(), max(x.confirmedAt, now.Add(-f.Age()))
	if changed {
		n.forward(now, n.heartbeat(now).AsAnswer(), out)
	}
}
