package gossip

import (
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// ConfirmEnded takes evidence that the process recorded at an address (host:port)
// has ended. It ignores a process that no member list has at this address. It
// informs the watchers of all failure domains, which forward it to their members.
func (n *Node) ConfirmEnded(now model.Instant, address string, process model.Incarnation, out *peer.Outbox) {
	m, ok := n.membership.MarkEnded(address, process)
	if !ok {
		return
	}
	for _, d := range n.membership.Domains() {
		n.sendToWatchers(d, peer.NewDown(m, true), out)
	}
	n.propagateEnd(now, m, out)
}

// NoteRefused leaves out a member to which a connection was refused: the process
// recorded at an address (host:port) has ended, or the network refuses connections
// to it. The watchers of all failure domains find out by themselves; a watcher has
// those below it in the tree leave the member out too.
func (n *Node) NoteRefused(now model.Instant, address string, process model.Incarnation, out *peer.Outbox) {
	if address == n.self.Address() {
		return
	}
	m, ok := n.membership.MarkRefused(address, process, now.Add(RefusalTime))
	if !ok {
		return
	}
	if m.Domain() == n.self.Domain() {
		n.addListEdit(now, listEdit{member: m, remove: true})
	}
	for _, d := range n.membership.Domains() {
		n.sendToWatchers(d, peer.NewDown(m, false), out)
	}
	n.forward(now, peer.NewRefusal(m), out)
}

// withdrawRefusal takes a member in again whose process has been heard from, and
// tells those below this daemon in the tree.
func (n *Node) withdrawRefusal(now model.Instant, m fleet.Member, out *peer.Outbox) {
	if !n.membership.WithdrawRefusal(m) {
		return
	}
	n.dropRemoval(m.Incarnation())
	n.forward(now, peer.NewAnnounce(m), out)
}

// expireRefusals takes members in again that have neither been heard from nor
// refused a connection for RefusalTime.
func (n *Node) expireRefusals(now model.Instant) {
	for _, process := range n.membership.ExpireRefusals(now) {
		n.dropRemoval(process)
	}
}

// probeRefused sends heartbeats to members that refuse connections, some at each
// tick in turn, to find out when they accept them again.
func (n *Node) probeRefused(now model.Instant, out *peer.Outbox) {
	if !n.membership.HasRefused() {
		return
	}
	var refused []fleet.Member
	for _, m := range n.membership.LeftOut() {
		if n.membership.Refused(m) {
			refused = append(refused, m)
		}
	}
	for i := range min(maxRefusedProbes, len(refused)) {
		m := refused[(n.ticks*maxRefusedProbes+i)%len(refused)]
		out.AddAt(m.Address(), n.heartbeat(now))
	}
}

// propagateEnd forwards the end of a process, and has the process removed from
// the member list if it is of the own failure domain.
func (n *Node) propagateEnd(now model.Instant, m fleet.Member, out *peer.Outbox) {
	if m.Domain() == n.self.Domain() {
		n.addListEdit(now, listEdit{member: m, remove: true})
	}
	n.forward(now, peer.NewDown(m, true), out)
}
