// Package once records the idempotency keys of a service's requests, so that a
// request that is sent again within a window does not run again.
//
// Each key is assigned to a pair of daemons of the service by rendezvous hashing,
// in two failure domains where there are two. The one that a request reaches runs
// it at its own target after the other one has recorded the key. A daemon is
// certain that an unrecorded key has not run when it was one of the key's pair in
// every membership of the last window. When neither of the pair is certain, the
// request is refused.
package once

import (
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Key is a digest of a request and its idempotency key.
type Key string

// Process is a daemon from its start to its end. A restarted daemon is another
// process, with another incarnation.
type Process struct {
	name        model.Instance
	incarnation string
}

// NewProcess returns the process of an instance's daemon whose incarnation is id.
// The id is unique among the processes of the instance.
func NewProcess(name model.Instance, id string) Process { return Process{name: name, incarnation: id} }

// Name returns the name of the instance.
func (p Process) Name() model.Instance { return p.name }

// Incarnation returns the incarnation.
func (p Process) Incarnation() string { return p.incarnation }

// Answer is a target's answer to a request, stored to answer later requests with
// the same key.
type Answer struct {
	status int
	header map[string][]string
	body   []byte
}

// NewAnswer returns an answer. It keeps the header and the body without a copy.
func NewAnswer(status int, header map[string][]string, body []byte) *Answer {
	return &Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the header. It must not be changed.
func (a *Answer) Header() map[string][]string { return a.header }

// Body returns the body. It must not be changed.
func (a *Answer) Body() []byte { return a.body }

// Limits of the records that one daemon keeps.
const (
	// MaxRecords is the largest number of keys. Requests with further keys are
	// refused.
	MaxRecords = 100_000
	// MaxAnswerBytes is the size of the largest body that is stored, in bytes.
	MaxAnswerBytes = 64 << 10
	// MaxStoredBytes is the limit for the size of all stored bodies together.
	// When it is exceeded, the oldest answers are dropped.
	MaxStoredBytes = 8 << 20
)

// state is what this daemon has recorded about a key.
//
//sumtype:decl
type state interface{ isState() }

// Members of state.
type (
	// claimed is a key whose request another process may have run.
	claimed struct{ by Process }
	// running is a key whose request may have been sent to this daemon's
	// target and has not ended.
	running struct{}
	// finished is a key whose request may have run and whose answer is not
	// stored.
	finished struct{}
	// stored is a key whose request ran and whose answer is stored.
	stored struct{ answer *Answer }
)

func (claimed) isState()  {}
func (running) isState()  {}
func (finished) isState() {}
func (stored) isState()   {}

// record is the state of one key, kept until it expires.
type record struct {
	expires model.Instant
	state   state
}

// Registry holds the records of idempotency keys of one daemon. It is not safe for
// concurrent use.
type Registry struct {
	self        model.Instance
	window      time.Duration
	records     map[Key]*record
	expiry      []expiryEntry
	storedKeys  []Key
	storedBytes int
	memberships []membership
}

// expiryEntry is a key and the time at which its record expires.
type expiryEntry struct {
	key     Key
	expires model.Instant
}

// membership is the members of the service, in force from the time at which they
// were observed.
type membership struct {
	since   model.Instant
	members []fleet.Member
}

// NewRegistry returns the empty records of an instance's daemon. A record is kept for
// the window, lengthened by the clock drift bound and the request's deadline.
func NewRegistry(self model.Instance, window time.Duration) *Registry {
	return &Registry{self: self, window: model.WithDrift(window), records: map[Key]*record{}}
}

// Action is what the caller has to do after a command.
//
//sumtype:decl
type Action interface{ isAction() }

// Replay answers the request with the stored answer of the first one.
type Replay struct{ answer *Answer }

// SendClaim sends a claim of the key to the other daemon of the pair. The caller
// then calls Confirmed, or Drop when that daemon refuses or cannot be reached.
type SendClaim struct{ peer fleet.Member }

// Start runs the request without a claim, because the service has no other
// daemon.
type Start struct{}

// ClaimReply answers a claim: the key is recorded. It also reports whether this daemon
// is certain that the key has not run within the window.
type ClaimReply struct{ keyIsNew bool }

func (Replay) isAction()     {}
func (SendClaim) isAction()  {}
func (Start) isAction()      {}
func (ClaimReply) isAction() {}

// Answer returns the stored answer.
func (a Replay) Answer() *Answer { return a.answer }

// Peer returns the other daemon of the pair.
func (a SendClaim) Peer() fleet.Member { return a.peer }

// KeyIsNew reports whether it is certain that the key has not run within the
// window.
func (a ClaimReply) KeyIsNew() bool { return a.keyIsNew }

// Outbox collects the actions of one command. The zero value is empty.
type Outbox struct{ actions []Action }

// Actions returns the actions in the order in which they are to be done.
func (o *Outbox) Actions() []Action { return o.actions }

func (o *Outbox) add(a Action) { o.actions = append(o.actions, a) }
