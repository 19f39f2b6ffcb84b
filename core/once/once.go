// Package once remembers the idempotency keys of a service's requests, so that
// a request sent again does not run again.
//
// Each key belongs to a pair of daemons of the service, chosen by rendezvous
// hash, in two failure domains where there are two. The one that a request
// reaches runs it at its own target, after the other one has noted it. A daemon
// knows a key for certain when it was one of the pair in every membership of
// the last window. When neither of the pair does, the request is refused.
package once

import (
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Key identifies a request and its idempotency key.
type Key string

// Process is one run of a daemon. A restarted daemon is another process.
type Process struct {
	name  model.Instance
	start string
}

// NewProcess returns the process of an instance with an id of its own.
func NewProcess(name model.Instance, start string) Process { return Process{name: name, start: start} }

// Name returns the instance.
func (p Process) Name() model.Instance { return p.name }

// Start returns the id of this run of the instance's daemon.
func (p Process) Start() string { return p.start }

// Answer is a target's answer that is held to be given again.
type Answer struct {
	status int
	header map[string][]string
	body   []byte
}

// NewAnswer returns an answer. It keeps the header and the body.
func NewAnswer(status int, header map[string][]string, body []byte) *Answer {
	return &Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the header. It must not be changed.
func (a *Answer) Header() map[string][]string { return a.header }

// Body returns the body. It must not be changed.
func (a *Answer) Body() []byte { return a.body }

// Bounds of a Book.
const (
	// MaxRecords is how many keys are remembered. More are refused.
	MaxRecords = 100_000
	// MaxAnswer is the largest body that is held, in bytes.
	MaxAnswer = 64 << 10
	// MaxHeld is how much of all bodies is held, in bytes. The oldest give way.
	MaxHeld = 8 << 20
)

// state is what is known of a key.
//
//sumtype:decl
type state interface{ isState() }

// Members of state.
type (
	// claimed is a key that another process may run.
	claimed struct{ by Process }
	// running is a key whose request may be at the own target.
	running struct{}
	// ended is a key whose request ran and whose answer is not held.
	ended struct{}
	// held is a key whose answer is held.
	held struct{ answer *Answer }
)

func (claimed) isState() {}
func (running) isState() {}
func (ended) isState()   {}
func (held) isState()    {}

type record struct {
	until model.Instant
	state state
}

// Book is the memory of one daemon. It is not safe for concurrent use.
type Book struct {
	self    model.Instance
	window  time.Duration
	records map[Key]*record
	expiry  []expiry
	answers []Key
	bytes   int
	views   []view
}

// expiry is a key in the order of its record's end.
type expiry struct {
	key   Key
	until model.Instant
}

// view is a membership of the service, since it was observed.
type view struct {
	since   model.Instant
	members []fleet.Member
}

// NewBook returns the empty memory of an instance, which remembers a key for a
// window.
func NewBook(self model.Instance, window time.Duration) *Book {
	return &Book{self: self, window: model.Guard(window), records: map[Key]*record{}}
}

// Action is what a Book wants done after a command.
//
//sumtype:decl
type Action interface{ isAction() }

// Replay gives the first answer again.
type Replay struct{ answer *Answer }

// Confirm asks the other daemon of the pair to note the key. It is followed by
// Confirmed, or by Drop when that daemon denies or cannot be reached.
type Confirm struct{ peer fleet.Member }

// Start lets the request run: there is no other daemon to ask.
type Start struct{}

// Noted tells the process that asked that its key is noted, and whether this
// daemon vouches that the key has not run before.
type Noted struct{ vouched bool }

func (Replay) isAction()  {}
func (Confirm) isAction() {}
func (Start) isAction()   {}
func (Noted) isAction()   {}

// Answer returns the first answer.
func (a Replay) Answer() *Answer { return a.answer }

// Peer returns the other daemon.
func (a Confirm) Peer() fleet.Member { return a.peer }

// Vouched reports whether the key has not run before for certain.
func (a Noted) Vouched() bool { return a.vouched }

// Outbox collects actions. The zero value is empty.
type Outbox struct{ actions []Action }

// Actions returns the actions in order.
func (o *Outbox) Actions() []Action { return o.actions }

func (o *Outbox) add(a Action) { o.actions = append(o.actions, a) }
