package peer

import (
	"time"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Heartbeat is a heartbeat between daemons. It carries the sender's configuration
// revision and a digest of its membership, by which the receiver finds out which of
// the two is behind.
type Heartbeat struct {
	revision    model.Revision
	digest      uint64
	isolatedFor time.Duration
	answer      bool
	coverage    Coverage
	freshness   Freshness
}

// Freshness tells how recent the knowledge of a configuration is that operators keep
// outside of anvilstand: the version of its last known change, and the time since the
// store confirmed that there was no later one. The zero value knows of no change.
type Freshness struct {
	version uint64
	age     time.Duration
}

// NewFreshness returns the freshness of a version that the store confirmed age ago.
func NewFreshness(version uint64, age time.Duration) Freshness {
	return Freshness{version: version, age: max(0, age)}
}

// Version returns the version of the last known change, zero if none is known.
func (f Freshness) Version() uint64 { return f.version }

// Age returns the time since the store confirmed that there was no later change.
func (f Freshness) Age() time.Duration { return f.age }

// Freshness returns what the sender knows of a configuration outside of anvilstand.
func (m Heartbeat) Freshness() Freshness { return m.freshness }

// WithFreshness returns the heartbeat with a freshness.
func (m Heartbeat) WithFreshness(f Freshness) Heartbeat {
	m.freshness = f
	return m
}

// Coverage is an aggregate that heartbeats carry up the dissemination tree: the
// number of daemons in the sender's subtree, itself included, from which a coverage
// came lately, and the lowest revision that one of them has in force.
type Coverage struct {
	daemons     int
	minRevision model.Revision
}

// NewCoverage returns the coverage of a number of daemons.
func NewCoverage(daemons int, minRevision model.Revision) Coverage {
	return Coverage{daemons: daemons, minRevision: minRevision}
}

// Daemons returns the number of daemons. It is zero if the sender gave no
// coverage.
func (c Coverage) Daemons() int { return c.daemons }

// MinRevision returns the lowest revision that one of the daemons has in force.
func (c Coverage) MinRevision() model.Revision { return c.minRevision }

// Add returns the coverage of the daemons of both. They must not overlap.
func (c Coverage) Add(o Coverage) Coverage {
	return Coverage{daemons: c.daemons + o.daemons, minRevision: min(c.minRevision, o.minRevision)}
}

// Coverage returns the coverage, which is empty in an answer.
func (m Heartbeat) Coverage() Coverage { return m.coverage }

// WithCoverage returns the heartbeat with a coverage.
func (m Heartbeat) WithCoverage(c Coverage) Heartbeat {
	m.coverage = c
	return m
}

// NewHeartbeat returns a heartbeat. The digest is that of the sender's membership;
// isolatedFor is the time since the sender's failure domain last heard from
// the store or another domain.
func NewHeartbeat(rev model.Revision, digest uint64, isolatedFor time.Duration) Heartbeat {
	return Heartbeat{revision: rev, digest: digest, isolatedFor: isolatedFor}
}

// Revision returns the configuration revision in force at the sender.
func (m Heartbeat) Revision() model.Revision { return m.revision }

// MembershipDigest returns the digest of the sender's membership
// (fleet.Membership.Digest).
func (m Heartbeat) MembershipDigest() uint64 { return m.digest }

// IsolatedFor returns the time since the sender's failure domain last heard from
// the store or another domain.
func (m Heartbeat) IsolatedFor() time.Duration { return m.isolatedFor }

// IsAnswer reports whether the heartbeat answers another one.
func (m Heartbeat) IsAnswer() bool { return m.answer }

// AsAnswer returns the heartbeat as an answer, which is not answered in turn.
func (m Heartbeat) AsAnswer() Heartbeat {
	m.answer = true
	return m
}

// SyncRequest requests what the receiver knows beyond a configuration revision and
// beyond versions of member lists.
type SyncRequest struct {
	revision model.Revision
	versions map[model.Domain]uint64
}

// NewSyncRequest returns the request of a daemon that has revision rev in force and,
// by failure domain, member lists at the given versions.
func NewSyncRequest(rev model.Revision, versions map[model.Domain]uint64) SyncRequest {
	return SyncRequest{revision: rev, versions: versions}
}

// Revision returns the configuration revision in force at the sender.
func (m SyncRequest) Revision() model.Revision { return m.revision }

// Versions returns the versions of the sender's member lists by failure domain.
func (m SyncRequest) Versions() map[model.Domain]uint64 { return m.versions }

// Entries sends entries of the configuration history, in order of revision.
type Entries struct {
	entries []change.Entry
	newest  model.Revision
}

// NewEntries returns a message with entries, and the newest revision that the
// sender has.
func NewEntries(entries []change.Entry, newest model.Revision) Entries {
	return Entries{entries: entries, newest: newest}
}

// Entries returns the entries in order of revision.
func (m Entries) Entries() []change.Entry { return m.entries }

// Newest returns the newest revision that the sender has. The receiver asks for
// more if it is higher than that of the last entry.
func (m Entries) Newest() model.Revision { return m.newest }

// SnapshotChunk is a chunk of an encoded snapshot of the configuration. The receiver
// joins all chunks of a snapshot by index.
type SnapshotChunk struct {
	revision model.Revision
	index    int
	count    int
	data     []byte
}

// NewSnapshotChunk returns chunk index, from 0, of the count chunks of the snapshot at
// a revision.
func NewSnapshotChunk(rev model.Revision, index, count int, data []byte) SnapshotChunk {
	return SnapshotChunk{revision: rev, index: index, count: count, data: data}
}

// Revision returns the revision of the snapshot.
func (m SnapshotChunk) Revision() model.Revision { return m.revision }

// Index returns the index of the chunk, from 0.
func (m SnapshotChunk) Index() int { return m.index }

// Count returns the number of chunks of the snapshot.
func (m SnapshotChunk) Count() int { return m.count }

// Data returns the bytes of the chunk.
func (m SnapshotChunk) Data() []byte { return m.data }

// MemberDelta sends a change of the member list of a failure domain.
type MemberDelta struct{ delta fleet.Delta }

// NewMemberDelta returns the message that sends a change of a member list.
func NewMemberDelta(d fleet.Delta) MemberDelta { return MemberDelta{delta: d} }

// Delta returns the change of the member list.
func (m MemberDelta) Delta() fleet.Delta { return m.delta }

// Announce asks a member that writes the member list (a watcher) to add a
// member.
type Announce struct{ member fleet.Member }

// NewAnnounce returns the message that asks to add m.
func NewAnnounce(m fleet.Member) Announce { return Announce{member: m} }

// Member returns the member to add.
func (m Announce) Member() fleet.Member { return m.member }

// Down says that the process of a member has ended (proven), for all daemons, or is
// suspected to have ended, for watchers. These probe a suspected member, and those
// of its failure domain remove it from the member list.
type Down struct {
	member fleet.Member
	proven bool
}

// NewDown returns the message that the process of m has ended. With proven
// false it is only suspected, because it doesn't answer or refuses connections.
func NewDown(m fleet.Member, proven bool) Down { return Down{member: m, proven: proven} }

// Member returns the member as it was recorded.
func (m Down) Member() fleet.Member { return m.member }

// Proven reports whether there is evidence that the process has ended, rather
// than suspicion.
func (m Down) Proven() bool { return m.proven }

// Refusal says that connections to the process of a member are refused, for the
// daemons below the sender in the tree.
type Refusal struct{ member fleet.Member }

// NewRefusal returns the message that connections to the process of m are refused.
func NewRefusal(m fleet.Member) Refusal { return Refusal{member: m} }

// Member returns the member as it was recorded.
func (m Refusal) Member() fleet.Member { return m.member }

func (Heartbeat) isMessage()     {}
func (SyncRequest) isMessage()   {}
func (Entries) isMessage()       {}
func (SnapshotChunk) isMessage() {}
func (MemberDelta) isMessage()   {}
func (Announce) isMessage()      {}
func (Down) isMessage()          {}
func (Refusal) isMessage()       {}
