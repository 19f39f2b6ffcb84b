package spread

import (
	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Hear takes a message of another daemon. From one that others read it learns
// only that the sender lives.
func (n *Node) Hear(now model.Instant, p peer.Post, out *peer.Outbox) error {
	n.note(now, p)
	switch m := p.Message().(type) {
	case peer.Beat:
		n.hearBeat(now, p, m, out)
	case peer.Want:
		n.answerWant(p, m, out)
	case peer.Push:
		return n.hearPush(now, p, m, out)
	case peer.Piece:
		return n.hearPiece(m)
	case peer.Roll:
		n.hearRoll(now, p, m.Step(), out)
	case peer.Announce:
		n.hearAnnounce(now, p, m.Member(), out)
	case peer.Gone:
		n.hearGone(now, m, out)
	case peer.Share, peer.Accuse:
	}
	return nil
}

// note remembers that a daemon was heard.
func (n *Node) note(now model.Instant, p peer.Post) {
	c := n.contacts[p.Peer()]
	n.row.valid = n.row.valid && !c.suspect
	c.waiting, c.suspect, c.heard = false, false, now
	n.remember(p.Peer(), c)
	m, ok := n.roster.Find(p.Peer())
	if ok && m.Domain() != n.self.Domain() {
		n.outside = now
	}
}

func (n *Node) hearBeat(now model.Instant, p peer.Post, b peer.Beat, out *peer.Outbox) {
	if then := now.Add(-b.Outside()); n.outside.Before(then) {
		n.outside = then
	}
	if b.Covered().Daemons() > 0 {
		n.confirm(now, p, b.Covered())
	}
	if !b.IsAnswer() {
		out.Answer(p, n.beat(now).AsAnswer())
	}
	n.bring(p, b.Revision(), out)
	if b.Revision() > n.line.Revision() || b.Digest() != n.roster.Digest() {
		out.Answer(p, n.want())
	}
}

// confirm notes what a sender speaks for.
func (n *Node) confirm(now model.Instant, p peer.Post, c peer.Covered) {
	if m, ok := n.roster.Find(p.Peer()); ok && m.Domain() != n.self.Domain() {
		if n.heard == nil {
			n.heard = map[model.Domain]Heard{}
		}
		n.heard[m.Domain()] = Heard{when: now, covered: c}
		return
	}
	known := n.contact(now, p.Peer())
	known.covered, known.told = c, now
	n.remember(p.Peer(), known)
}

func (n *Node) want() peer.Want {
	versions := map[model.Domain]uint64{}
	for _, d := range n.roster.Domains() {
		versions[d] = n.roster.Roll(d).Version()
	}
	return peer.NewWant(n.line.Revision(), versions)
}

// answerWant sends what the other lacks. What this node lacks itself it learns
// from the answer to its own heartbeats.
func (n *Node) answerWant(p peer.Post, w peer.Want, out *peer.Outbox) {
	for _, d := range n.roster.Domains() {
		for _, s := range n.stepsAfter(d, w.Versions()[d]) {
			out.Answer(p, peer.NewRoll(s))
		}
	}
	n.bring(p, w.Revision(), out)
}

// bring sends the entries that follow a revision, or a base.
func (n *Node) bring(p peer.Post, rev model.Revision, out *peer.Outbox) {
	if rev >= n.line.Revision() {
		return
	}
	entries, ok := n.line.After(rev, change.MaxTail)
	if !ok {
		n.sendBase(p, out)
		return
	}
	out.Answer(p, peer.NewPush(head(entries), n.line.Revision()))
}

// stepsAfter returns the steps that lead from a version of a roll to the newest.
func (n *Node) stepsAfter(d model.Domain, version uint64) []fleet.Step {
	roll := n.roster.Roll(d)
	if version >= roll.Version() {
		return nil
	}
	for i, s := range n.steps[d] {
		if s.From() == version && version > 0 {
			return n.steps[d][i:]
		}
	}
	return []fleet.Step{roll.Whole()}
}

// head returns the first entries whose text fits into one message.
func head(entries []change.Entry) []change.Entry {
	size := 0
	for i, e := range entries {
		size += len(change.FormatAll(e.Batch()))
		if i > 0 && size > BatchBytes {
			return entries[:i]
		}
	}
	return entries
}

func (n *Node) sendBase(p peer.Post, out *peer.Outbox) {
	b := n.line.BaseOf()
	data, err := n.packer.Pack(b)
	if err != nil {
		n.faults++
		return
	}
	count := (len(data) + PieceBytes - 1) / PieceBytes
	for i := range count {
		part := data[i*PieceBytes : min(len(data), (i+1)*PieceBytes)]
		out.Answer(p, peer.NewPiece(b.Revision(), i, count, part))
	}
}

func (n *Node) hearPush(now model.Instant, p peer.Post, m peer.Push, out *peer.Outbox) error {
	var first error
	for _, e := range m.Entries() {
		err := n.Learn(now, e, out)
		if err != nil && first == nil {
			first = err
		}
		if errors.Is(err, change.ErrGap) {
			break
		}
	}
	if m.Newest() > n.line.Revision() {
		out.Answer(p, n.want())
	}
	return first
}

// hearPiece collects the parts of a base and takes it when it is whole.
func (n *Node) hearPiece(m peer.Piece) error {
	if m.Revision() <= n.line.Revision() || m.Count() < 1 || m.Count() > MaxPieces || m.Index() < 0 || m.Index() >= m.Count() {
		return nil
	}
	if n.parts.revision != m.Revision() || len(n.parts.parts) != m.Count() {
		n.parts = assembly{revision: m.Revision(), parts: make([][]byte, m.Count()), left: m.Count()}
	}
	if n.parts.parts[m.Index()] == nil {
		n.parts.parts[m.Index()] = m.Data()
		n.parts.left--
	}
	if n.parts.left > 0 {
		return nil
	}
	var data []byte
	for _, part := range n.parts.parts {
		data = append(data, part...)
	}
	n.parts = assembly{}
	b, err := n.packer.Unpack(data)
	if err != nil {
		n.faults++
		return err
	}
	return n.LearnBase(b)
}

func (n *Node) hearRoll(now model.Instant, p peer.Post, s fleet.Step, out *peer.Outbox) {
	old := n.roster.Roll(s.Domain())
	next, ok := old.Take(s)
	if ok {
		n.See(now, next, out)
		return
	}
	if s.To() > old.Version() {
		out.Answer(p, n.want())
	}
}

// hearAnnounce notes what a member of this failure domain wants recorded. A
// daemon that is no watcher of that domain hands it to those that are, once.
func (n *Node) hearAnnounce(now model.Instant, p peer.Post, m fleet.Member, out *peer.Outbox) {
	if m.Domain() == n.self.Domain() {
		n.wish(now, wish{member: m})
	}
	if p.From() != m.Incarnation() {
		return
	}
	for i, w := range n.roster.Ranked(m.Domain()) {
		if i < Watchers && w.Name() != m.Name() && w.Name() != n.self.Name() {
			out.Add(w.Name(), peer.NewAnnounce(m))
		}
	}
}

// hearGone notes that a member should be taken out of the record. Without
// evidence that holds only if it has not been heard here either.
func (n *Node) hearGone(now model.Instant, g peer.Gone, out *peer.Outbox) {
	m := g.Member()
	if m.Name() == n.self.Name() && m.Incarnation() == n.self.Incarnation() {
		return
	}
	if g.Proven() {
		if _, news := n.roster.Bury(m.Address(), m.Incarnation()); news {
			n.drop(now, m, out)
		}
		return
	}
	if m.Domain() != n.self.Domain() {
		return
	}
	if now.Sub(n.contact(now, m.Name()).heard) < Absence {
		n.ask(now, m.Name(), n.beat(now), out)
		return
	}
	n.wish(now, wish{member: m, drop: true})
}
