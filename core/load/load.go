// Package load holds what a target reports about its own load, decides which reports
// can be believed, and models what the target can handle now. It addresses targets of
// different and changing speed: their slots alone do not tell how much work they can
// take.
package load

import (
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// Bounds of the figures in a report. Figures beyond them come from a faulty target.
const (
	// maxRequests bounds the running and waiting requests and the slots.
	maxRequests = 1 << 20
	// minSlowdown and maxSlowdown bound the slowdown.
	minSlowdown = 0.01
	maxSlowdown = 1000
)

// Report is the load that a target reports at one moment. The zero value is a report of
// no slots, which NewReport never returns.
type Report struct {
	running  int
	waiting  int
	slots    int
	slowdown float64
}

// NewReport returns a report of the requests that run and wait at a target, and of the
// number that it runs at a time. It returns an error if a figure is not plausible, or if
// more run than there are slots.
func NewReport(running, waiting, slots int) (Report, error) {
	if running < 0 || waiting < 0 || slots < 1 || running > slots || max(waiting, slots) > maxRequests {
		return Report{}, errors.Errorf("load report: %d running, %d waiting, %d slots", running, waiting, slots)
	}
	return Report{running: running, waiting: waiting, slots: slots}, nil
}

// WithSlowdown returns the report with the time that work takes at this moment, as a
// multiple of the usual time. It returns an error if that is not plausible.
func (r Report) WithSlowdown(x float64) (Report, error) {
	if !(x >= minSlowdown && x <= maxSlowdown) {
		return Report{}, errors.Errorf("load report: slowdown %g", x)
	}
	r.slowdown = x
	return r, nil
}

// Running returns the number of requests that the target runs.
func (r Report) Running() int { return r.running }

// Waiting returns the number of requests in the target's own queue.
func (r Report) Waiting() int { return r.waiting }

// Slots returns the number of requests that the target runs at a time.
func (r Report) Slots() int { return r.slots }

// Slowdown returns the time that work takes now as a multiple of the usual time. It
// returns false if the target did not report it.
func (r Report) Slowdown() (float64, bool) { return r.slowdown, r.slowdown > 0 }

// Scale returns a usual duration as it is at the reported slowdown.
func (r Report) Scale(usual time.Duration) time.Duration {
	if r.slowdown == 0 {
		return usual
	}
	return time.Duration(float64(usual) * r.slowdown)
}

// Kind is what requests that take about equally long have in common, such as the name of
// their route. The empty kind is that of requests of which it is not known.
type Kind string

// Reason is why a report was discarded.
//
//sumtype:decl
type Reason interface{ isReason() }

// Members of Reason.
type (
	// Malformed means that a figure is missing or not plausible.
	Malformed struct{}
	// Contradicting means that the report has other slots than the target's status. It
	// may be of another target whose response this one passed on.
	Contradicting struct{}
	// Stale means that no further report came within MaxAge.
	Stale struct{}
)

func (Malformed) isReason()     {}
func (Contradicting) isReason() {}
func (Stale) isReason()         {}

// Reasons returns all members of Reason.
func Reasons() []Reason { return []Reason{Malformed{}, Contradicting{}, Stale{}} }

// ReasonName returns the name of a reason in metrics.
func ReasonName(r Reason) string {
	switch r.(type) {
	case Malformed:
		return "malformed"
	case Contradicting:
		return "contradicting"
	case Stale:
		return "stale"
	}
	return "unknown"
}

// Model is what one target can handle now, by its reports and its answers. The zero
// value knows nothing. It is not safe for concurrent use.
//
// The reported slowdown is smoothed by an exponentially weighted moving average over
// time (a first-order low-pass filter, with a weight by the time between samples). It
// needs one number, treats many and few reports a second alike, and passes half of a
// step within 0.7 of its time constant; a median or a window of the same smoothness
// reacts later. Answers are counted with weights that decay with time.
type Model struct {
	last       Report
	observed   bool // a report was accepted
	observedAt model.Instant
	slowdown   float64 // smoothed
	usual      Mean    // time of a good answer at a slowdown of 1, in seconds
	kinds      map[Kind]*Mean
	good       decayedCount
	bad        decayedCount
	discarded  map[Reason]uint64
}

// Time constants and bounds of a model.
const (
	// MaxAge is the age at which a report no longer counts.
	MaxAge = time.Second
	// slowdownTime is the time constant of the smoothed slowdown. Targets are slowed for
	// some hundred milliseconds at a time, and should get less work well within that.
	slowdownTime = 150 * time.Millisecond
	// answerTime is the time constant of the time and the share of good answers. It has
	// to cover some 50 answers of routes that take differently long.
	answerTime = 2 * time.Second
	// minMeanWeight is the number of answers that always count in the usual time, also
	// after a pause: a single answer is no mean of the routes.
	minMeanWeight = 8
	// priorGood is the number of good answers that are assumed, so that a single failure
	// does not make a target look slow.
	priorGood = 4
	// minGoodShare bounds the share of good answers from below, so that a target that
	// has failed still gets some requests, by which its recovery is seen.
	minGoodShare = 0.05
	// maxKinds bounds the kinds of requests that are told apart.
	maxKinds = 64
	// decayDelay is the time without an answer of a kind after which its time begins to
	// decay, and decayHalfLife the time in which it halves: when all requests of a kind
	// are refused because it takes too long, no answer shows that it no longer does.
	decayDelay    = time.Second
	decayHalfLife = 500 * time.Millisecond
	// maxTime bounds the time for a request.
	maxTime = 10 * time.Minute
)

// Mean is a mean whose samples lose weight with time. The zero value has no samples.
type Mean struct {
	value  float64
	weight float64
	at     model.Instant
}

// decayedCount is a count whose events lose weight with time.
type decayedCount struct {
	count float64
	at    model.Instant
}
