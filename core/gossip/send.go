package gossip

import (
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// sendToWatchers sends a message to the watchers of a failure domain, other
// than this daemon.
func (n *Node) sendToWatchers(d model.Domain, m peer.Message, out *peer.Outbox) {
	for i, w := range n.membership.RendezvousOrder(d) {
		if i < WatchersPerDomain && w.Name() != n.self.Name() {
			out.Add(w.Name(), m)
		}
	}
}

// forward sends a message to the members that have this daemon as a parent.
func (n *Node) forward(now model.Instant, m peer.Message, out *peer.Outbox) {
	members, index := n.rendezvousOrder(now)
	for _, i := range receivers(index, len(members)) {
		out.Add(members[i].Name(), m)
	}
}

// SendToChildren sends a message to the members that have this daemon as a parent.
func (n *Node) SendToChildren(now model.Instant, m peer.Message, out *peer.Outbox) {
	n.forward(now, m, out)
}

// SendToParent sends a message to the first parent. Watchers have none.
func (n *Node) SendToParent(now model.Instant, m peer.Message, out *peer.Outbox) {
	members, index := n.rendezvousOrder(now)
	if first, _, ok := parents(index); ok && first < len(members) {
		out.Add(members[first].Name(), m)
	}
}

// SendToDomainWatchers sends a message to the other watchers of the own failure domain.
func (n *Node) SendToDomainWatchers(now model.Instant, m peer.Message, out *peer.Outbox) {
	members, index := n.rendezvousOrder(now)
	for i := range min(WatchersPerDomain, len(members)) {
		if i != index {
			out.Add(members[i].Name(), m)
		}
	}
}

// SendToOtherDomains sends a message to the watchers of the other failure domains that answer.
func (n *Node) SendToOtherDomains(now model.Instant, m peer.Message, out *peer.Outbox) {
	for _, d := range n.membership.Domains() {
		if d == n.self.Domain() {
			continue
		}
		sent := 0
		for _, w := range n.membership.RendezvousOrder(d) {
			if sent < WatchersPerDomain && !n.isSuspected(now, w.Name()) {
				out.Add(w.Name(), m)
				sent++
			}
		}
	}
}
