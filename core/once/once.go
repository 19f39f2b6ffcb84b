// Package once decides whether a request with an idempotency key may run, so that a
// request that is sent again within a window does not run again.
//
// Each key is assigned to a pair of daemons of the service by rendezvous hashing, the
// primary and the secondary, in two failure domains where there are two. The one that
// a request reaches, normally the primary, runs it at its own target after the other
// one has recorded the key (a claim). A daemon is certain that an unrecorded key has
// not run when it was one of the key's pair in every membership of the last window.
// When neither of the pair is certain, the request is refused.
//
// Without a release, a request that was refused as not run would be refused as a repeat
// when it is sent again to the daemon that recorded its claim, for example after the
// first one has left. So a claim whose request did not run is released. A release names
// its claim by number, because it may arrive after a newer claim of the same key. A
// claim whose release is lost stays until it expires.
//
// The records are in memory only. The package sends nothing: claims and responses are
// carried by package front.
package once

import (
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Key is a digest of a request and its idempotency key.
type Key string

// Process is a daemon from its start to its end. A restarted daemon is another process,
// with another incarnation. It is not the model.Incarnation of the membership: it is a
// string that is used in claims only.
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

// Claim is the claim of a key by a process that is about to run its request. Its number
// is that of the execution at that process, larger than those of earlier ones. It is zero
// in a claim of a build without releases.
type Claim struct {
	key    Key
	by     Process
	number uint64
}

// NewClaim returns a claim.
func NewClaim(k Key, by Process, number uint64) Claim { return Claim{key: k, by: by, number: number} }

// Key returns the key.
func (c Claim) Key() Key { return c.key }

// By returns the process that claims the key.
func (c Claim) By() Process { return c.by }

// Number returns the number.
func (c Claim) Number() uint64 { return c.number }

// Response is a target's response to a request, stored for later requests with the
// same key.
type Response struct {
	status int
	header map[string][]string
	body   []byte
}

// NewResponse returns a response. It keeps the header and the body without a copy.
func NewResponse(status int, header map[string][]string, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// Header returns the header. It must not be changed.
func (r *Response) Header() map[string][]string { return r.header }

// Body returns the body. It must not be changed.
func (r *Response) Body() []byte { return r.body }

// Limits of the records that one daemon keeps.
const (
	// MaxRecords is the largest number of keys. Requests with further keys are
	// refused.
	MaxRecords = 100_000
	// MaxResponseBytes is the size of the largest body that is stored, in bytes.
	MaxResponseBytes = 64 << 10
	// MaxStoredBytes is the limit of the size of all stored bodies together, in
	// bytes. When it is exceeded, the oldest responses are dropped, and their keys
	// stay recorded.
	MaxStoredBytes = 8 << 20
)

// state is what this daemon has recorded about a key.
//
//sumtype:decl
type state interface{ isState() }

// Members of state.
type (
	// claimed is a key that the other daemon of the pair has claimed here, whose
	// request it may have run. The claim is the one with the highest number.
	claimed struct{ claim Claim }
	// running is a key whose request may have been sent to this daemon's
	// target and has not ended. The other daemon is the zero Member when the request
	// runs without a claim.
	running struct {
		other  fleet.Member
		number uint64
	}
	// finished is a key whose request may have run and whose response is not
	// stored.
	finished struct{}
	// stored is a key whose request ran and whose response is stored.
	stored struct{ response *Response }
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

// Registry holds one daemon's records of idempotency keys. It is not safe for
// concurrent use.
type Registry struct {
	self        model.Instance
	retention   time.Duration // the window, lengthened by the clock drift bound
	records     map[Key]*record
	expiry      []expiryEntry
	storedKeys  []Key
	storedBytes int
	memberships []membership
	lastNumber  uint64 // of the newest execution that Begin recorded
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

// NewRegistry returns an empty registry of an instance's daemon. A record is kept for
// the window, lengthened by the clock drift bound, and the time until the request's
// deadline.
func NewRegistry(self model.Instance, window time.Duration) *Registry {
	return &Registry{self: self, retention: model.WithDrift(window), records: map[Key]*record{}}
}

// Action is what the caller has to do after a command.
//
//sumtype:decl
type Action interface{ isAction() }

// Replay answers the request with the stored response to the first one.
type Replay struct{ response *Response }

// SendClaim sends a claim of the key to the other daemon of the pair. The caller then
// calls ClaimAnswered, or Abort when that daemon refuses or cannot be reached.
type SendClaim struct {
	other  fleet.Member
	number uint64
}

// SendRelease sends a release of this process's claim with the number to the daemon that
// it was sent to. It may be lost.
type SendRelease struct {
	other  fleet.Member
	number uint64
}

// RunUnclaimed runs the request without a claim, because the service has no other
// daemon.
type RunUnclaimed struct{ number uint64 }

// ClaimReply answers a claim: the key is recorded. It also reports whether this daemon
// is certain that no other process has run the key within the window.
type ClaimReply struct{ keyIsNew bool }

func (Replay) isAction()       {}
func (SendClaim) isAction()    {}
func (SendRelease) isAction()  {}
func (RunUnclaimed) isAction() {}
func (ClaimReply) isAction()   {}

// Response returns the stored response.
func (a Replay) Response() *Response { return a.response }

// Other returns the other daemon of the pair.
func (a SendClaim) Other() fleet.Member { return a.other }

// Number returns the number of the execution and of its claim.
func (a SendClaim) Number() uint64 { return a.number }

// Number returns the number of the execution.
func (a RunUnclaimed) Number() uint64 { return a.number }

// Other returns the daemon that the claim was sent to.
func (a SendRelease) Other() fleet.Member { return a.other }

// Number returns the number of the claim that ends.
func (a SendRelease) Number() uint64 { return a.number }

// KeyIsNew reports whether it is certain that no process but the claimant has run the
// key within the window. A key that the claimant claims again is still new.
func (a ClaimReply) KeyIsNew() bool { return a.keyIsNew }

// Outbox collects the actions of one command. The zero value is empty.
type Outbox struct{ actions []Action }

// Actions returns the actions in the order in which they are to be done.
func (o *Outbox) Actions() []Action { return o.actions }

func (o *Outbox) add(a Action) { o.actions = append(o.actions, a) }
