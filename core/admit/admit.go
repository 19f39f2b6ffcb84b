// Package admit decides which requests a target runs and when: a concurrency
// limit that follows the target's capacity, and a bounded queue that serves by
// rank, fairly among organisations, and drops what comes too late.
package admit

import (
	"time"

	"anvilstand/core/model"
)

// Ticket is a request at the gate.
type Ticket struct {
	id       uint64
	org      model.Org
	place    model.Place
	came     model.Instant
	deadline model.Instant
}

// NewTicket returns a ticket. The id is the gate owner's own and stays unique
// while the ticket is at the gate.
func NewTicket(id uint64, call model.Call, now model.Instant) Ticket {
	return Ticket{id: id, org: call.Org(), place: call.Place(), came: now, deadline: now.Add(call.Left())}
}

// ID returns the ticket's id.
func (t Ticket) ID() uint64 { return t.id }

// Action is what the gate wants done after a command.
//
//sumtype:decl
type Action interface{ isAction() }

// Start lets a ticket's request go to the target.
type Start struct{ id uint64 }

// Drop refuses a ticket that waited.
type Drop struct {
	id      uint64
	refusal *model.Refusal
}

func (Start) isAction() {}
func (Drop) isAction()  {}

// ID returns the ticket to start.
func (a Start) ID() uint64 { return a.id }

// ID returns the ticket to refuse.
func (a Drop) ID() uint64 { return a.id }

// Refusal returns why the ticket is refused.
func (a Drop) Refusal() *model.Refusal { return a.refusal }

// Outbox collects actions. The zero value is empty.
type Outbox struct{ actions []Action }

// Actions returns the actions in order.
func (o *Outbox) Actions() []Action { return o.actions }

func (o *Outbox) add(a Action) { o.actions = append(o.actions, a) }

// Outcome is how a request that ran ended.
//
//sumtype:decl
type Outcome interface{ isOutcome() }

// Members of Outcome.
type (
	// Served is a whole answer, with the time that the target took.
	Served struct{ took time.Duration }
	// Rejected is an answer by which the target sheds load.
	Rejected struct{}
	// Failed is a connection to the target that broke.
	Failed struct{}
	// Abandoned is a request whose caller went away, or whose answer says
	// nothing of the target itself.
	Abandoned struct{}
)

func (Served) isOutcome()    {}
func (Rejected) isOutcome()  {}
func (Failed) isOutcome()    {}
func (Abandoned) isOutcome() {}

// NewServed returns the outcome of a whole answer.
func NewServed(took time.Duration) Served { return Served{took: took} }

// Took returns the time that the target took.
func (s Served) Took() time.Duration { return s.took }

// Gate is the admission beside one target. The zero value admits FirstLimit
// requests at a time and learns from there. It is not safe for concurrent use.
type Gate struct {
	limiter limiter
	queue   queue
	tuner   tuner
	running map[uint64]model.Instant
	closed  bool
	told    int
	pace    pace
	off     Part
}

// Part is a set of mechanisms of a gate, as bits.
type Part uint8

// Parts of a gate. A measurement switches them off one by one.
const (
	// PartLimit is the limit that follows latency. Without it the limit is
	// fixed at FixedLimit.
	PartLimit Part = 1 << iota
	// PartFloor is the undoing of cuts that did not lower the latency.
	PartFloor
	// PartRank is the choice by rank.
	PartRank
	// PartFair is the choice among organisations.
	PartFair
	// PartNewest is the choice of the newest under overload.
	PartNewest
	// PartLate is the refusal of what cannot meet its deadline.
	PartLate
	// PartLevel is the level told to callers.
	PartLevel
	// PartStart is the small first limit. Without it a gate starts at
	// FixedLimit.
	PartStart
	// NoParts is the empty set.
	NoParts Part = 0
)

// Without returns a gate that lacks some parts, for measurements.
func Without(off Part) *Gate {
	g := &Gate{off: off}
	g.limiter.off, g.queue.off, g.tuner.off = off, off, off
	return g
}

// Bounds of a gate.
const (
	// FixedLimit is the limit of a gate that lacks a part that learns it.
	FixedLimit = 32
	// RetryWait is the wait that a refusal of the gate carries.
	RetryWait = 100 * time.Millisecond
)
