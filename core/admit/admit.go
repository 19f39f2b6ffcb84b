// Package admit decides which requests start, wait or are refused in front of
// one target. It has an adaptive concurrency limit, or one from the slots that
// the target reports; a bounded queue that is served by rank, round-robin among
// organisations, and rejects requests that cannot meet their deadline; a token
// bucket for the starts at a target in warm-up, or a ramp where no rate is configured;
// and an admission level by priority, from which on callers should shed requests
// themselves.
//
// Whether the target may get work at all is decided in package life, and the
// rate quotas of organisations in package quota.
package admit

import (
	"time"

	"anvilstand/core/load"
	"anvilstand/core/model"
)

// Ticket is a request to admit, with what the controller needs to queue it.
type Ticket struct {
	id       uint64
	org      model.Org
	position model.Position
	arrived  model.Instant
	deadline model.Instant
	kind     load.Kind
}

// NewTicket returns a ticket for a call that arrived now. The caller chooses
// the id, which must be unique among the tickets that are queued or running.
func NewTicket(id uint64, call model.Call, now model.Instant) Ticket {
	return Ticket{id: id, org: call.Org(), position: call.Position(), arrived: now, deadline: now.Add(call.TimeLeft())}
}

// WithKind returns the ticket with the kind of its request.
func (t Ticket) WithKind(k load.Kind) Ticket {
	t.kind = k
	return t
}

// ID returns the id that the caller chose.
func (t Ticket) ID() uint64 { return t.id }

// Action is what the caller must do after a command on the controller.
//
//sumtype:decl
type Action interface{ isAction() }

// Start sends a request to the target.
type Start struct{ id uint64 }

// Reject refuses a queued request.
type Reject struct {
	id      uint64
	refusal *model.Refusal
}

func (Start) isAction()  {}
func (Reject) isAction() {}

// ID returns the id of the request to start.
func (a Start) ID() uint64 { return a.id }

// ID returns the id of the request to refuse.
func (a Reject) ID() uint64 { return a.id }

// Refusal returns the refusal to answer the request with.
func (a Reject) Refusal() *model.Refusal { return a.refusal }

// Outbox collects actions. The zero value is empty.
type Outbox struct{ actions []Action }

// Actions returns the actions in the order in which they must be carried out.
func (o *Outbox) Actions() []Action { return o.actions }

func (o *Outbox) add(a Action) { o.actions = append(o.actions, a) }

// Outcome is how a started request ended.
//
//sumtype:decl
type Outcome interface{ isOutcome() }

// Members of Outcome.
type (
	// Served is a complete response, with the latency of the target.
	Served struct {
		took    time.Duration
		isError bool
	}
	// Rejected is a response by which the target sheds load.
	Rejected struct{}
	// Failed is a broken connection to the target.
	Failed struct{}
	// Abandoned is a request whose caller went away, or whose response is no
	// evidence of the target's own capacity.
	Abandoned struct{ stillRuns bool }
)

func (Served) isOutcome()    {}
func (Rejected) isOutcome()  {}
func (Failed) isOutcome()    {}
func (Abandoned) isOutcome() {}

// NewServed returns the outcome of a complete response after a latency of took.
func NewServed(took time.Duration) Served { return Served{took: took} }

// AsRunning returns the outcome of a request that the target may still be running.
func (a Abandoned) AsRunning() Abandoned {
	a.stillRuns = true
	return a
}

// AsError returns the outcome of a response that is an error of the target itself. It
// counts as an answer for the limit, but not in the time that good answers take.
func (s Served) AsError() Served {
	s.isError = true
	return s
}

// Took returns the latency of the target.
func (s Served) Took() time.Duration { return s.took }

// Controller is the admission controller of one target. The zero value starts with
// a concurrency limit of InitialLimit and adapts it. It is not safe for concurrent
// use.
type Controller struct {
	limiter       limiter
	queue         queue
	tuner         levelTuner
	running       map[uint64]run
	closed        bool
	reportedSlots int
	bucket        warmupBucket
	model         load.Model
	capacity      capacity
	slowStart     slowStart
	disabled      Feature
}

// run is a request that was started.
type run struct {
	start model.Instant
	kind  load.Kind
}

// Feature is a bit set of features: mechanisms of a controller that Without can
// disable, to measure what each of them contributes.
type Feature uint8

// Features of a controller.
const (
	// FeatureLimit adapts the concurrency limit to latency. Without it the limit
	// is FixedLimit.
	FeatureLimit Feature = 1 << iota
	// FeatureUndoDecreases undoes decreases of the limit that did not lower the latency.
	FeatureUndoDecreases
	// FeatureRank serves the queue by rank.
	FeatureRank
	// FeatureFairness serves organisations of the same rank round-robin.
	FeatureFairness
	// FeatureNewestFirst serves the newest request first while there is a
	// standing queue (adaptive LIFO).
	FeatureNewestFirst
	// FeatureDeadline refuses requests that cannot meet their deadline.
	FeatureDeadline
	// FeatureLevel reports the admission level from which on callers shed
	// requests.
	FeatureLevel
	// FeatureSlowStart begins with the small InitialLimit and slow start, also
	// after a presumed restart of the target. Without it the limit begins at
	// FixedLimit.
	FeatureSlowStart
	// NoFeatures is the empty set.
	NoFeatures Feature = 0
)

// Without returns a controller with some features disabled, for measurements.
func Without(off Feature) *Controller {
	c := &Controller{disabled: off}
	c.limiter.disabled, c.queue.disabled, c.tuner.disabled = off, off, off
	return c
}

// Fixed values of a controller.
const (
	// FixedLimit is the limit when it does not adapt, and the first limit when
	// there is no slow start.
	FixedLimit = 32
	// QueueFullRetryAfter is the wait that a caller is told whose request does
	// not fit into the queue.
	QueueFullRetryAfter = 100 * time.Millisecond
)
