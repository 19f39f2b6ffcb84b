// Package gossip keeps the configuration and the membership of a daemon up to
// date by gossip. In each failure domain the first few members in rendezvous
// order are watchers, which follow the store; they forward changes to the other
// members through a shallow tree. Heartbeats along the tree carry digests, and
// a daemon that is behind is sent what it lacks.
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
	// first parent; the watchers share it.
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
	// RemoveAfter is how long a member may be silent before its first parent
	// asks the watchers to remove it from the member list.
	RemoveAfter = 10 * time.Second
	// MaxEntriesBytes bounds the text of the entries in one message, unless the
	// first one alone is longer.
	MaxEntriesBytes = 64 << 10
	// ChunkBytes is the size of a chunk of a snapshot in a message; the last
	// one may be smaller.
	ChunkBytes = 256 << 10
	// MaxChunks bounds the chunks of a snapshot that a receiver accepts.
	MaxChunks = 64
	// maxDeltas is the number of changes of each member list that are kept for
	// members that are behind.
	maxDeltas = 32
	// maxContacts bounds the number of daemons whose contacts are kept, and
	// that of pending edits.
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
	self         fleet.Member
	packer       Packer
	seeds        []string
	history      change.History
	membership   fleet.Membership
	contacts     map[model.Instance]contact
	edits        map[processKey]edit // not yet in the list
	deltas       map[model.Domain][]fleet.Delta
	lastOutside  model.Instant // last contact with the store or another domain
	ownListSeen  bool          // a list of the own domain was seen
	otherDomains map[model.Domain]DomainStatus
	incoming     assembly // snapshot being received
	order        memberOrder
	ticks        int
	faults       uint64
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

// processKey identifies a process; two processes may claim one name.
type processKey struct {
	name    model.Instance
	process model.Incarnation
}

// processKeyOf returns the key of the process that announced m.
func processKeyOf(m fleet.Member) processKey {
	return processKey{name: m.Name(), process: m.Incarnation()}
}

// edit is a change that a watcher should make to its domain's member list: set
// the member, or remove it.
type edit struct {
	member  fleet.Member
	remove  bool
	addedAt model.Instant
}

// DomainStatus is the coverage last received from another failure domain.
type DomainStatus struct {
	time     model.Instant
	coverage peer.Coverage
}

// Time returns the time at which it was received.
func (h DomainStatus) Time() model.Instant { return h.time }

// Coverage returns the coverage that the sender reported.
func (h DomainStatus) Coverage() peer.Coverage { return h.coverage }

// assembly collects the chunks of one snapshot.
type assembly struct {
	revision model.Revision
	chunks   [][]byte
	missing  int
}

// New returns the node of a daemon. Seeds are addresses (host:port) of other
// daemons, which it announces itself to while it knows no other members than
// the watchers.
func New(self fleet.Member, p Packer, seeds []string) *Node {
	return &Node{self: self, packer: p, seeds: seeds}
}
