package peer

import (
	"time"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Beat is a heartbeat with a digest of what the sender knows.
type Beat struct {
	revision model.Revision
	digest   uint64
	outside  time.Duration
	answer   bool
	covered  Covered
}

// Covered is how many daemons a sender speaks for, itself among them, and the
// lowest revision that one of them has in force.
type Covered struct {
	daemons int
	lowest  model.Revision
}

// NewCovered returns the sum of what a sender speaks for.
func NewCovered(daemons int, lowest model.Revision) Covered {
	return Covered{daemons: daemons, lowest: lowest}
}

// Daemons returns the number of daemons.
func (c Covered) Daemons() int { return c.daemons }

// Lowest returns the lowest revision in force.
func (c Covered) Lowest() model.Revision { return c.lowest }

// And returns the sum of two.
func (c Covered) And(o Covered) Covered {
	return Covered{daemons: c.daemons + o.daemons, lowest: min(c.lowest, o.lowest)}
}

// Covered returns what the sender speaks for.
func (b Beat) Covered() Covered { return b.covered }

// WithCovered returns the beat with what the sender speaks for.
func (b Beat) WithCovered(c Covered) Beat {
	b.covered = c
	return b
}

// NewBeat returns a heartbeat. The digest is that of the roster; outside is how
// long ago the sender's failure domain heard from the store or another domain.
func NewBeat(rev model.Revision, digest uint64, outside time.Duration) Beat {
	return Beat{revision: rev, digest: digest, outside: outside}
}

// Revision returns the revision in force at the sender.
func (b Beat) Revision() model.Revision { return b.revision }

// Digest returns the digest of the sender's roster.
func (b Beat) Digest() uint64 { return b.digest }

// Outside returns how long ago the sender's failure domain heard from the store
// or from another domain.
func (b Beat) Outside() time.Duration { return b.outside }

// IsAnswer reports whether the beat answers another.
func (b Beat) IsAnswer() bool { return b.answer }

// AsAnswer returns the beat as an answer, which is not answered in turn.
func (b Beat) AsAnswer() Beat {
	b.answer = true
	return b
}

// Want asks for what the receiver knows beyond a revision and beyond versions
// of rolls.
type Want struct {
	revision model.Revision
	versions map[model.Domain]uint64
}

// NewWant returns the request of a daemon that has a revision and rolls.
func NewWant(rev model.Revision, versions map[model.Domain]uint64) Want {
	return Want{revision: rev, versions: versions}
}

// Revision returns the revision in force at the sender.
func (w Want) Revision() model.Revision { return w.revision }

// Versions returns the versions of the rolls that the sender has.
func (w Want) Versions() map[model.Domain]uint64 { return w.versions }

// Push brings entries of the line of revisions, in order.
type Push struct {
	entries []change.Entry
	newest  model.Revision
}

// NewPush returns entries, with the newest revision that the sender has.
func NewPush(entries []change.Entry, newest model.Revision) Push {
	return Push{entries: entries, newest: newest}
}

// Entries returns the entries in order.
func (p Push) Entries() []change.Entry { return p.entries }

// Newest returns the newest revision that the sender has.
func (p Push) Newest() model.Revision { return p.newest }

// Piece is a part of an encoded base. The parts of one base are joined in
// order.
type Piece struct {
	revision model.Revision
	index    int
	count    int
	data     []byte
}

// NewPiece returns part index of count of the base at a revision.
func NewPiece(rev model.Revision, index, count int, data []byte) Piece {
	return Piece{revision: rev, index: index, count: count, data: data}
}

// Revision returns the revision of the base.
func (p Piece) Revision() model.Revision { return p.revision }

// Index returns the place of the part, from 0.
func (p Piece) Index() int { return p.index }

// Count returns the number of parts.
func (p Piece) Count() int { return p.count }

// Data returns the bytes of the part.
func (p Piece) Data() []byte { return p.data }

// Roll brings a change of the members of a failure domain.
type Roll struct{ step fleet.Step }

// NewRoll returns the message that brings a step.
func NewRoll(s fleet.Step) Roll { return Roll{step: s} }

// Step returns the step.
func (r Roll) Step() fleet.Step { return r.step }

// Announce asks a watcher to record a member.
type Announce struct{ member fleet.Member }

// NewAnnounce returns the message that announces a member.
func NewAnnounce(m fleet.Member) Announce { return Announce{member: m} }

// Member returns the member to record.
func (a Announce) Member() fleet.Member { return a.member }

// Gone asks a watcher to take a member out of the record.
type Gone struct {
	member fleet.Member
	proven bool
}

// NewGone returns the message that a process has ended, or with proven false
// that it does not answer.
func NewGone(m fleet.Member, proven bool) Gone { return Gone{member: m, proven: proven} }

// Member returns the member as it was recorded.
func (g Gone) Member() fleet.Member { return g.member }

// Proven reports whether there is evidence that the process has ended.
func (g Gone) Proven() bool { return g.proven }

func (Beat) isMessage()     {}
func (Want) isMessage()     {}
func (Push) isMessage()     {}
func (Piece) isMessage()    {}
func (Roll) isMessage()     {}
func (Announce) isMessage() {}
func (Gone) isMessage()     {}
