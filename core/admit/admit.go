// Package admit decides which requests a target runs and when: a concurrency
// limit with a bounded queue.
package admit

import (
	"time"

	"anvilstand/core/model"
)

// Ticket is a request at the gate.
type Ticket struct {
	id       uint64
	org      model.Org
	rank     model.Rank
	deadline model.Instant
}

// NewTicket returns a ticket. The id is the gate owner's own and stays unique
// while the ticket is at the gate.
func NewTicket(id uint64, call model.Call, now model.Instant) Ticket {
	return Ticket{id: id, org: call.Org(), rank: call.Rank(), deadline: now.Add(call.Left())}
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
	// Abandoned is a request whose caller went away.
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

// Gate is the admission beside one target. The zero value admits
// DefaultLimit requests at a time. It is not safe for concurrent use.
type Gate struct {
	limit   int
	running map[uint64]model.Instant
	queue   []Ticket
	closed  bool
}

// Limits of a gate.
const (
	// DefaultLimit is the number of requests that run at a time.
	DefaultLimit = 32
	// QueueFactor is the queue's bound in multiples of the limit.
	QueueFactor = 2
	// RetryWait is the wait that a refusal of the gate carries.
	RetryWait = 50 * time.Millisecond
)
