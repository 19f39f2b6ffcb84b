package peer

import (
	"time"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Beat is a heartbeat between daemons, with a digest of what the sender knows.
type Beat struct {
	revision     model.Revision
	digest       uint64
	sinceOutside time.Duration
	answer       bool
	coverage     Covered
}

// Covered sums up the daemons that a heartbeat speaks for: the sender, and
// those whose summaries it has added to its own.
type Covered struct {
	daemons     int
	minRevision model.Revision
}

// NewCovered returns the summary of a number of daemons, and the lowest
// revision that one of them has in force.
func NewCovered(daemons int, minRevision model.Revision) Covered {
	return Covered{daemons: daemons, minRevision: minRevision}
}

// Daemons returns the number of daemons. It is zero if the sender gave no
// summary.
func (c Covered) Daemons() int { return c.daemons }

// Lowest returns the lowest revision that one of the daemons has in force.
func (c Covered) Lowest() model.Revision { return c.minRevision }

// Add returns the summary of the daemons of both. They must not overlap.
func (c Covered) Add(o Covered) Covered {
	return Covered{daemons: c.daemons + o.daemons, minRevision: min(c.minRevision, o.minRevision)}
}

// Covered returns the summary of the daemons that the sender speaks for.
func (b Beat) Covered() Covered { return b.coverage }

// WithCovered returns the heartbeat with the summary of the daemons that the
// sender speaks for.
func (b Beat) WithCovered(c Covered) Beat {
	b.coverage = c
	return b
}

// NewBeat returns a heartbeat. The digest is that of the sender's membership;
// sinceOutside is the time since the sender's failure domain last heard from
// the store or another domain.
func NewBeat(rev model.Revision, digest uint64, sinceOutside time.Duration) Beat {
	return Beat{revision: rev, digest: digest, sinceOutside: sinceOutside}
}

// Revision returns the configuration revision in force at the sender.
func (b Beat) Revision() model.Revision { return b.revision }

// Digest returns the digest of the sender's membership.
func (b Beat) Digest() uint64 { return b.digest }

// Outside returns the time since the sender's failure domain last heard from
// the store or another domain.
func (b Beat) Outside() time.Duration { return b.sinceOutside }

// IsAnswer reports whether the heartbeat answers another one.
func (b Beat) IsAnswer() bool { return b.answer }

// AsAnswer returns the heartbeat as an answer, which is not answered in turn.
func (b Beat) AsAnswer() Beat {
	b.answer = true
	return b
}

// Want requests what the receiver knows beyond a configuration revision and
// beyond versions of membership records.
type Want struct {
	revision model.Revision
	versions map[model.Domain]uint64
}

// NewWant returns the request of a daemon that has revision rev in force and,
// by failure domain, membership records at the given versions.
func NewWant(rev model.Revision, versions map[model.Domain]uint64) Want {
	return Want{revision: rev, versions: versions}
}

// Revision returns the configuration revision in force at the sender.
func (w Want) Revision() model.Revision { return w.revision }

// Versions returns the versions of the sender's membership records by failure
// domain.
func (w Want) Versions() map[model.Domain]uint64 { return w.versions }

// Push sends entries of the configuration history, in order of revision.
type Push struct {
	entries []change.Entry
	newest  model.Revision
}

// NewPush returns a message with entries, and the newest revision that the
// sender has.
func NewPush(entries []change.Entry, newest model.Revision) Push {
	return Push{entries: entries, newest: newest}
}

// Entries returns the entries in order of revision.
func (p Push) Entries() []change.Entry { return p.entries }

// Newest returns the newest revision that the sender has. The receiver asks for
// more if it is higher than that of the last entry.
func (p Push) Newest() model.Revision { return p.newest }

// Piece is a chunk of an encoded base (a snapshot of the configuration). The
// receiver joins all chunks of a base by index.
type Piece struct {
	revision model.Revision
	index    int
	count    int
	data     []byte
}

// NewPiece returns chunk index, from 0, of the count chunks of the base at a
// revision.
func NewPiece(rev model.Revision, index, count int, data []byte) Piece {
	return Piece{revision: rev, index: index, count: count, data: data}
}

// Revision returns the revision of the base.
func (p Piece) Revision() model.Revision { return p.revision }

// Index returns the index of the chunk, from 0.
func (p Piece) Index() int { return p.index }

// Count returns the number of chunks of the base.
func (p Piece) Count() int { return p.count }

// Data returns the bytes of the chunk.
func (p Piece) Data() []byte { return p.data }

// Roll sends a change of the membership record of a failure domain.
type Roll struct{ delta fleet.Step }

// NewRoll returns the message that sends a change of a record.
func NewRoll(s fleet.Step) Roll { return Roll{delta: s} }

// Step returns the change of the record.
func (r Roll) Step() fleet.Step { return r.delta }

// Announce asks a watcher (see package spread) to record a member.
type Announce struct{ member fleet.Member }

// NewAnnounce returns the message that asks to record m.
func NewAnnounce(m fleet.Member) Announce { return Announce{member: m} }

// Member returns the member to record.
func (a Announce) Member() fleet.Member { return a.member }

// Gone asks a watcher (see package spread) to remove a member from the record.
type Gone struct {
	member fleet.Member
	proven bool
}

// NewGone returns the message that the process of m has ended. With proven
// false it is only suspected, because it doesn't answer.
func NewGone(m fleet.Member, proven bool) Gone { return Gone{member: m, proven: proven} }

// Member returns the member as it was recorded.
func (g Gone) Member() fleet.Member { return g.member }

// Proven reports whether there is evidence that the process has ended, rather
// than suspicion.
func (g Gone) Proven() bool { return g.proven }

func (Beat) isMessage()     {}
func (Want) isMessage()     {}
func (Push) isMessage()     {}
func (Piece) isMessage()    {}
func (Roll) isMessage()     {}
func (Announce) isMessage() {}
func (Gone) isMessage()     {}
