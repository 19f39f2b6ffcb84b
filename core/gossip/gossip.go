// Package gossip decides what a daemon sends to which others to keep the
// configuration and the membership the same everywhere. In each failure domain the
// first few members in rendezvous order are watchers, which follow the store; they
// forward changes to the other members through a shallow dissemination tree. The
// tree is fixed by the rendezvous order, no peers are picked at random. For
// anti-entropy, heartbeats along the tree carry the revision and a digest of the
// membership, and a daemon that is behind is sent what it lacks. A member that
// leaves a heartbeat unanswered is suspected, and another takes its place.
//
// The package does no I/O: messages are sent in package link, and the store is read
// and written in package watch.
package gossip

import (
	"time"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Timeouts and sizes of the dissemination.
const (
	// WatchersPerDomain is the number of members of a failure domain that
	// follow the store.
	WatchersPerDomain = 2
	// FanOut is the number of members that one member forwards to as their
	// first parent. The watchers together have this number of children.
	FanOut = 32
	// AnswerTimeout is how long a heartbeat may stay unanswered before its
	// receiver is suspected and another member takes its place.
	AnswerTimeout = 2 * time.Second
	// SuspicionTime is how long a suspected member is left out of the
	// rendezvous order.
	SuspicionTime = 10 * time.Second
	// ProbeAfter is how long a member may be silent before its first parent
	// sends it a heartbeat.
	ProbeAfter = 4 * time.Second
	// RefusalTime is how long a member that refuses connections is left out,
	// unless it is heard from or refuses again.
	RefusalTime = 10 * time.Second
	// maxRefusedProbes bounds the members that refuse connections to which a
	// watcher sends a heartbeat at a tick.
	maxRefusedProbes = 8
	// RemoveAfter is how long a member may be silent before its first parent
	// asks the watchers to remove it from the member list.
	RemoveAfter = 10 * time.Second
	// MaxEntriesBytes bounds the text of the entries in one message, unless the
	// first one alone is longer.
	MaxEntriesBytes = 64 << 10
	// ChunkBytes is the size of a chunk of a snapshot in a message; the last
	// one may be smaller.
	ChunkBytes = 256 << 10
	// MaxChunks bounds the chunks of a snapshot that a receiver accepts, hence
	// a snapshot to MaxChunks*ChunkBytes = 16 MiB.
	MaxChunks = 64
	// maxDeltas is the number of changes of each member list that are kept for
	// members that are behind.
	maxDeltas = 32
	// maxContacts bounds the number of daemons whose contacts are kept, and
	// that of pending edits. It exceeds the planned size of a failure domain.
	maxContacts = 4096
)

// Packer encodes a snapshot of the configuration for its transfer in chunks,
// and decodes it.
type Packer interface {
	// Pack returns the encoded snapshot.
	Pack(change.Snapshot) ([]byte, error)
	// Unpack returns the snapshot that Pack encoded.
	Unpack([]byte) (change.Snapshot, error)
}

// Node is the gossip state of one daemon. It is not safe for concurrent use.
type Node struct {
	self               fleet.Member
	packer             Packer
	seeds              []string
	history            change.History
	membership         fleet.Membership
	contacts           map[model.Instance]contact
	pendingEdits       map[memberKey]listEdit // not yet in the member list
	deltas             map[model.Domain][]fleet.Delta
	lastContactOutside model.Instant // last contact with the store or another domain
	external           externalState
	ownListSeen        bool // a list of the own domain was seen
	damaged            damagedList
	removed            map[model.Incarnation]bool // processes that a member list no longer has
	missingSince       model.Instant              // when the store was found to lack the own domain's list, or zero
	domainCoverages    map[model.Domain]DomainCoverage
	incoming           assembly // snapshot being received
	order              memberOrder
	ticks              int
	refusedCount       uint64
}

// externalState is what is known of a configuration that operators keep outside of
// anvilstand, by this daemon's own calls or by heartbeats.
type externalState struct {
	version     uint64 // of the last change
	confirmedAt model.Instant
}

// memberOrder is the cached rendezvous order of the own failure domain, without
// suspected members. It is valid until the next tick, a change of the
// membership, or a message from a suspected member.
type memberOrder struct {
	members []fleet.Member
	index   int
	changes uint64
	valid   bool
}

// contact is what a node knows of its exchange with another daemon.
type contact struct {
	askedAt     model.Instant // oldest unanswered heartbeat
	waiting     bool          // for an answer
	heardAt     model.Instant
	suspectedAt model.Instant
	suspect     bool
	coverage    peer.Coverage
	coverageAt  model.Instant
}

// memberKey identifies the process of a member; two processes may claim one name.
type memberKey struct {
	name    model.Instance
	process model.Incarnation
}

// memberKeyOf returns the key of the process that announced m.
func memberKeyOf(m fleet.Member) memberKey {
	return memberKey{name: m.Name(), process: m.Incarnation()}
}

// listEdit is a change that a watcher should make to its domain's member list in
// the store: set the member, or remove it. A fleet.Delta, in contrast, is the
// difference between two stored versions of the list.
type listEdit struct {
	member  fleet.Member
	remove  bool
	addedAt model.Instant
}

// damagedList is the version of the own failure domain's list of which something did
// not decode, zero for none, and when it was read.
type damagedList struct {
	version uint64
	readAt  model.Instant
}

// DomainCoverage is the coverage last received from another failure domain.
type DomainCoverage struct {
	time     model.Instant
	coverage peer.Coverage
}

// Time returns the time at which it was received.
func (c DomainCoverage) Time() model.Instant { return c.time }

// Coverage returns the coverage that the sender reported.
func (c DomainCoverage) Coverage() peer.Coverage { return c.coverage }

// assembly collects the chunks of one snapshot.
type assembly struct {
	revision model.Revision
	chunks   [][]byte
	missing  int
}

// New returns the node of a daemon. Seeds are addresses (host:port) of other
// daemons, which it announces itself to while it knows at most WatchersPerDomain
// members of its failure domain, itself included.
func New(self fleet.Member, p Packer, seeds []string) *Node {
	return &Node{self: self, packer: p, seeds: seeds}
}
