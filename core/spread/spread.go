// Package spread keeps the configuration and the membership of a daemon up to
// date. In each failure domain the first few members in rendezvous order are
// watchers, which follow the store; the others are fed by them through a
// shallow tree. Heartbeats along the tree carry digests, and whoever is behind
// is sent what it lacks.
package spread

import (
	"time"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Times and sizes of the spread.
const (
	// Watchers is the number of members of a failure domain that follow the
	// store.
	Watchers = 2
	// FanOut is the number of members that one member feeds.
	FanOut = 32
	// Silence is how long a member may leave a heartbeat unanswered before
	// another takes its place.
	Silence = 2 * time.Second
	// Suspicion is how long a silent member is passed over.
	Suspicion = 10 * time.Second
	// Doubt is how long a member may be silent before it is asked whether it
	// still lives.
	Doubt = 4 * time.Second
	// Absence is how long a member may be silent before the watchers are asked
	// to take it out of the record.
	Absence = 10 * time.Second
	// BatchBytes bounds the text of the entries in one message.
	BatchBytes = 64 << 10
	// PieceBytes is the size of a part of a base in a message.
	PieceBytes = 256 << 10
	// MaxPieces bounds the parts of a base that are taken.
	MaxPieces = 64
	// maxSteps is the number of steps of a roll that are kept to be sent on.
	maxSteps = 32
	// maxContacts bounds the memory of who was heard.
	maxContacts = 4096
)

// Packer encodes a base for its transfer in pieces and decodes it again.
type Packer interface {
	// Pack returns the bytes of a base.
	Pack(change.Base) ([]byte, error)
	// Unpack returns the base of its bytes.
	Unpack([]byte) (change.Base, error)
}

// Node is the state of one daemon. It is not safe for concurrent use.
type Node struct {
	self     fleet.Member
	packer   Packer
	seeds    []string
	line     change.Line
	roster   fleet.Roster
	contacts map[model.Instance]contact
	wishes   map[identity]wish
	steps    map[model.Domain][]fleet.Step
	outside  model.Instant
	known    bool
	heard    map[model.Domain]Heard
	parts    assembly
	row      row
	ticks    int
	faults   uint64
}

// row is the rendezvous order of a failure domain as last worked out. It holds
// until the next tick, a change of the roster, or a sign of life of a suspect.
type row struct {
	members []fleet.Member
	place   int
	roster  uint64
	valid   bool
}

// contact is what a node knows of another's answers.
type contact struct {
	asked     model.Instant
	waiting   bool
	heard     model.Instant
	suspected model.Instant
	suspect   bool
	covered   peer.Covered
	told      model.Instant
}

// identity tells two processes of one name apart.
type identity struct {
	name    model.Instance
	process model.Incarnation
}

func identityOf(m fleet.Member) identity {
	return identity{name: m.Name(), process: m.Incarnation()}
}

// wish is a change that a watcher wants in its domain's record.
type wish struct {
	member fleet.Member
	drop   bool
	since  model.Instant
}

// Heard is what was last heard of another failure domain.
type Heard struct {
	when    model.Instant
	covered peer.Covered
}

// When returns the time of the last message.
func (h Heard) When() model.Instant { return h.when }

// Covered returns the daemons that had confirmed to its sender.
func (h Heard) Covered() peer.Covered { return h.covered }

// assembly collects the parts of one base.
type assembly struct {
	revision model.Revision
	parts    [][]byte
	left     int
}

// New returns the node of a daemon. Seeds are addresses of other daemons to
// ask while no member is known.
func New(self fleet.Member, p Packer, seeds []string) *Node {
	return &Node{self: self, packer: p, seeds: seeds}
}
