package gossip

import (
	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Receive takes a message from another daemon. Of messages that other packages
// handle it records only that the sender is alive. The error is that of a refused
// entry or snapshot.
func (n *Node) Receive(now model.Instant, env peer.Envelope, out *peer.Outbox) error {
	n.markHeard(now, env, out)
	switch m := env.Message().(type) {
	case peer.Heartbeat:
		n.receiveHeartbeat(now, env, m, out)
	case peer.SyncRequest:
		n.answerSync(env, m, out)
	case peer.Entries:
		return n.receiveEntries(now, env, m, out)
	case peer.SnapshotChunk:
		return n.receiveSnapshotChunk(m)
	case peer.MemberDelta:
		n.receiveDelta(now, env, m.Delta(), out)
	case peer.Announce:
		n.receiveAnnounce(now, env, m.Member(), out)
	case peer.Down:
		n.receiveDown(now, m, out)
	case peer.Refusal:
		n.receiveRefusal(now, m.Member(), out)
	case peer.Quota, peer.CrashReport, peer.Rollout:
	}
	return nil
}

// markHeard records that a daemon sent a message. If the daemon was suspected or
// left out, it no longer is.
func (n *Node) markHeard(now model.Instant, env peer.Envelope, out *peer.Outbox) {
	c := n.contacts[env.Peer()]
	n.order.valid = n.order.valid && !c.suspect
	c.waiting, c.suspect, c.heardAt = false, false, now
	n.setContact(env.Peer(), c)
	m, ok := n.membership.Find(env.Peer())
	if ok && m.Domain() != n.self.Domain() {
		n.lastContactOutside = now
	}
	if ok && m.Incarnation() == env.Incarnation() {
		n.withdrawRefusal(now, m, out)
	}
}

// receiveHeartbeat answers a heartbeat, sends the configuration if the sender's
// is older, and requests a sync if this daemon is behind or the memberships
// differ.
func (n *Node) receiveHeartbeat(now model.Instant, env peer.Envelope, hb peer.Heartbeat, out *peer.Outbox) {
	if last := now.Add(-hb.IsolatedFor()); n.lastContactOutside.Before(last) {
		n.lastContactOutside = last
	}
	n.updateExternal(now, hb.Freshness(), out)
	if hb.Coverage().Daemons() > 0 {
		n.setCoverage(now, env, hb.Coverage())
	}
	if !hb.IsAnswer() {
		out.Answer(env, n.heartbeat(now).AsAnswer())
	}
	n.sendConfig(env, hb.Revision(), out)
	if hb.Revision() > n.history.Revision() || hb.MembershipDigest() != n.membership.Digest() {
		out.Answer(env, n.syncRequest())
	}
}

// setCoverage stores the coverage that a sender reports.
func (n *Node) setCoverage(now model.Instant, env peer.Envelope, c peer.Coverage) {
	if m, ok := n.membership.Find(env.Peer()); ok && m.Domain() != n.self.Domain() {
		if n.domainCoverages == nil {
			n.domainCoverages = map[model.Domain]DomainCoverage{}
		}
		n.domainCoverages[m.Domain()] = DomainCoverage{time: now, coverage: c}
		return
	}
	sender := n.contact(now, env.Peer())
	sender.coverage, sender.coverageAt = c, now
	n.setContact(env.Peer(), sender)
}

// syncRequest returns a request for what this daemon lacks.
func (n *Node) syncRequest() peer.SyncRequest {
	versions := map[model.Domain]uint64{}
	for _, d := range n.membership.Domains() {
		versions[d] = n.membership.MemberList(d).Version()
	}
	return peer.NewSyncRequest(n.history.Revision(), versions)
}

// answerSync sends what the requesting daemon lacks. What this one lacks it
// gets by the answers to its own heartbeats.
func (n *Node) answerSync(env peer.Envelope, req peer.SyncRequest, out *peer.Outbox) {
	for _, d := range n.membership.Domains() {
		for _, delta := range n.deltasAfter(d, req.Versions()[d]) {
			out.Answer(env, peer.NewMemberDelta(delta))
		}
	}
	n.sendConfig(env, req.Revision(), out)
}

// sendConfig sends the entries that follow a revision, or a snapshot if they
// are no longer kept. It sends nothing if the revision is not behind.
func (n *Node) sendConfig(env peer.Envelope, rev model.Revision, out *peer.Outbox) {
	if rev >= n.history.Revision() {
		return
	}
	entries, ok := n.history.After(rev, change.MaxEntries)
	if !ok {
		n.sendSnapshot(env, out)
		return
	}
	out.Answer(env, peer.NewEntries(fitMessage(entries), n.history.Revision()))
}

// deltasAfter returns the changes that lead from a version of a domain's member
// list to the newest one.
func (n *Node) deltasAfter(d model.Domain, version uint64) []fleet.Delta {
	list := n.membership.MemberList(d)
	if version >= list.Version() {
		return nil
	}
	for i, delta := range n.deltas[d] {
		if delta.From() == version && version > 0 {
			return n.deltas[d][i:]
		}
	}
	return []fleet.Delta{list.FullDelta()}
}

// fitMessage returns the first entries whose text fits into one message, at
// least one.
func fitMessage(entries []change.Entry) []change.Entry {
	size := 0
	for i, e := range entries {
		size += len(change.FormatBatch(e.Batch()))
		if i > 0 && size > MaxEntriesBytes {
			return entries[:i]
		}
	}
	return entries
}

// sendSnapshot sends the configuration in chunks.
func (n *Node) sendSnapshot(env peer.Envelope, out *peer.Outbox) {
	snapshot := n.history.Snapshot()
	data, err := n.packer.Pack(snapshot)
	if err != nil {
		n.refusedCount++
		return
	}
	count := (len(data) + ChunkBytes - 1) / ChunkBytes
	for i := range count {
		chunk := data[i*ChunkBytes : min(len(data), (i+1)*ChunkBytes)]
		out.Answer(env, peer.NewSnapshotChunk(snapshot.Revision(), i, count, chunk))
	}
}

// receiveEntries takes entries up to a gap, and requests a sync if the sender
// has newer ones. It returns the first error.
func (n *Node) receiveEntries(now model.Instant, env peer.Envelope, m peer.Entries, out *peer.Outbox) error {
	var firstErr error
	for _, e := range m.Entries() {
		err := n.TakeEntry(now, e, out)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		if errors.Is(err, change.ErrGap) {
			break
		}
	}
	if m.Newest() > n.history.Revision() {
		out.Answer(env, n.syncRequest())
	}
	return firstErr
}

// receiveSnapshotChunk collects the chunks of a snapshot and takes it when it
// is complete. A chunk of another revision discards those collected so far.
func (n *Node) receiveSnapshotChunk(m peer.SnapshotChunk) error {
	if m.Revision() <= n.history.Revision() || m.Count() < 1 || m.Count() > MaxChunks || m.Index() < 0 || m.Index() >= m.Count() {
		return nil
	}
	if n.incoming.revision != m.Revision() || len(n.incoming.chunks) != m.Count() {
		n.incoming = assembly{revision: m.Revision(), chunks: make([][]byte, m.Count()), missing: m.Count()}
	}
	if n.incoming.chunks[m.Index()] == nil {
		n.incoming.chunks[m.Index()] = m.Data()
		n.incoming.missing--
	}
	if n.incoming.missing > 0 {
		return nil
	}
	var data []byte
	for _, chunk := range n.incoming.chunks {
		data = append(data, chunk...)
	}
	n.incoming = assembly{}
	snapshot, err := n.packer.Unpack(data)
	if err != nil {
		n.refusedCount++
		return err
	}
	return n.TakeSnapshot(snapshot)
}

// receiveDelta takes a change of a member list. If the change is newer but
// starts from a version that this daemon doesn't have, it requests a sync.
func (n *Node) receiveDelta(now model.Instant, env peer.Envelope, delta fleet.Delta, out *peer.Outbox) {
	old := n.membership.MemberList(delta.Domain())
	next, ok := old.Apply(delta)
	if ok {
		n.TakeMemberList(now, next, out)
		return
	}
	if delta.To() > old.Version() {
		out.Answer(env, n.syncRequest())
	}
}

// receiveAnnounce has a member of the own failure domain listed. If the message
// comes from the member's own process, it is also forwarded to the other watchers of
// its domain; a forwarded message is not forwarded again.
func (n *Node) receiveAnnounce(now model.Instant, env peer.Envelope, m fleet.Member, out *peer.Outbox) {
	n.withdrawRefusal(now, m, out)
	if m.Domain() == n.self.Domain() {
		n.addListEdit(now, listEdit{member: m})
	}
	if env.Incarnation() != m.Incarnation() {
		return
	}
	for i, w := range n.membership.RendezvousOrder(m.Domain()) {
		if i < WatchersPerDomain && w.Name() != m.Name() && w.Name() != n.self.Name() {
			out.Add(w.Name(), peer.NewAnnounce(m))
		}
	}
}

// receiveRefusal leaves out a member to which connections are refused, as found out
// by a daemon above this one in the tree.
func (n *Node) receiveRefusal(now model.Instant, m fleet.Member, out *peer.Outbox) {
	if m.Name() == n.self.Name() {
		return
	}
	if _, changed := n.membership.MarkRefused(m.Address(), m.Incarnation(), now.Add(RefusalTime)); changed {
		n.forward(now, peer.NewRefusal(m), out)
	}
}

// receiveDown forwards the proven end of a process. A suspected member is probed;
// one of the own failure domain is removed from the member list if this daemon
// hasn't heard it for RemoveAfter either.
func (n *Node) receiveDown(now model.Instant, down peer.Down, out *peer.Outbox) {
	m := down.Member()
	if m.Name() == n.self.Name() && m.Incarnation() == n.self.Incarnation() {
		return
	}
	if down.Proven() {
		if _, isNew := n.membership.MarkEnded(m.Address(), m.Incarnation()); isNew {
			n.propagateEnd(now, m, out)
		}
		return
	}
	if m.Domain() != n.self.Domain() {
		out.AddAt(m.Address(), n.heartbeat(now))
		return
	}
	if now.Sub(n.contact(now, m.Name()).heardAt) < RemoveAfter {
		n.probe(now, m.Name(), n.heartbeat(now), out)
		return
	}
	n.addListEdit(now, listEdit{member: m, remove: true})
}
