// Package ramp limits how much work a target gets that is cold or back after failures,
// and for which no warm-up rate is configured (slow start). It addresses targets that
// have just started: with all of their work at once, requests queue there and miss their
// deadlines; held back for a fixed time, a target that is as fast as ever stays idle while
// callers are refused.
//
// How much a warm target gets is decided in package admit.
package ramp

import (
	"time"

	"anvilstand/core/model"
)

// Cause is why a ramp begins.
//
//sumtype:decl
type Cause interface{ isCause() }

// Members of Cause.
type (
	// Cold is a target whose status says that it warms up.
	Cold struct{ started int64 }
	// Failed is a target that failed, or whose failure domain was out of service, and
	// which may have restarted.
	Failed struct{}
)

func (Cold) isCause()   {}
func (Failed) isCause() {}

// NewCold returns the cause of a target that warms up, with the time at which its process
// started, by which starts are told apart.
func NewCold(started int64) Cold { return Cold{started: started} }

// CauseName returns the name of a cause in logs.
func CauseName(c Cause) string {
	switch c.(type) {
	case Cold:
		return "cold"
	case Failed:
		return "failed"
	}
	return "none"
}

// EndReason is why a ramp ended.
//
//sumtype:decl
type EndReason interface{ isEnd() }

// Members of EndReason.
type (
	// AtLimit means that the target bears its whole limit.
	AtLimit struct{}
	// Warm means that the target's status no longer says that it warms up.
	Warm struct{}
	// Quiet means that a target back after failures did not fail for quietTime. It got
	// too few requests to reach its limit.
	Quiet struct{}
	// Configured means that the service now has a warm-up rate.
	Configured struct{}
)

func (AtLimit) isEnd()    {}
func (Warm) isEnd()       {}
func (Quiet) isEnd()      {}
func (Configured) isEnd() {}

// EndReasonName returns the name of an end reason in logs.
func EndReasonName(e EndReason) string {
	switch e.(type) {
	case AtLimit:
		return "limit"
	case Warm:
		return "warm"
	case Quiet:
		return "quiet"
	case Configured:
		return "configured"
	}
	return "none"
}

// Bounds and steps of a ramp.
const (
	// startShare is the share of the limit at which a ramp begins. Two doublings lead to
	// the limit, so that a target that is as fast as before is back within three windows.
	startShare = 0.25
	// maxGrowth is the factor of the share after a window of answers as fast as before, and
	// decreaseFactor is its factor after answers that are slower, or a failure.
	maxGrowth      = 2
	decreaseFactor = 0.5
	// carefulGrowth is the growth after a decrease that helped, since the target's bound is
	// near, and the factor by which the growth itself rises again after each window.
	carefulGrowth = 1.25
	// minShare bounds the share from below; at least one request is always admitted.
	minShare = 1.0 / 64
	// tolerance is the time per good answer, as a multiple of that of the warm target,
	// above which answers count as slower. It is that of the limit by latency.
	tolerance = 1.3
	// failingTolerance is the same for a target that fails whatever the load: the share of
	// failures among few answers varies by more.
	failingTolerance = 3
	// A window has windowAnswers good answers, or fewer where fewer may run: then one for each, and
	// at least minWindowAnswers.
	windowAnswers    = 16
	minWindowAnswers = 3
	// windowTimes is how many times the mean time of its answers a window lasts before
	// the share grows: the first answers are those of the shortest requests. It begins
	// one mean time after the last growth, when the requests that ran then have ended.
	windowTimes = 1.5
	// effectiveFactor is the time per good answer, as a part of that before a decrease, up
	// to which the decrease has helped. Queueing at the target would fall to a half.
	effectiveFactor = 0.75
	// maxIneffectiveSlow and maxIneffectiveFailed are the numbers of successive decreases
	// that did not help after which answers are taken to be slow, or to fail, for another
	// reason than the load. A failure is a single event; a time is a mean.
	maxIneffectiveSlow   = 1
	maxIneffectiveFailed = 2
	// quietTime ends a ramp after failures when none came for that long.
	quietTime = 10 * time.Second
)

// Ramp is the slow start of one target. The zero value is off. It is not safe for
// concurrent use.
type Ramp struct {
	cause        Cause     // nil: off
	lastEnd      EndReason // nil before the first
	began        model.Instant
	lastDuration time.Duration // of the last ramp
	starts       int           // number of ramps
	share        float64       // of the limit
	reference    float64       // time per good answer of the warm target, zero if not known
	failing      bool          // failures are not due to the load
	growth       float64       // factor of the next growth
	lastTrouble  model.Instant // when the ramp began or its share was last lowered
	countedFrom  model.Instant // requests that started earlier ran at another share
	timedFrom    model.Instant // the time of requests that started earlier does not count
	window       window
	decreases    decreases
	slowest      float64 // time per good answer, as a multiple of the reference
}

// window is what was measured since the share changed, or since the last full window.
type window struct {
	start               model.Instant
	successes, failures int
	seconds             float64 // of good answers
	times               float64 // the same, each as a multiple of the usual time of its kind
	used                bool    // at least half of the requests that may run ran at once
}

// decreases records how often and why the share of a ramp was lowered.
type decreases struct {
	total       int
	ineffective int     // successive
	costBefore  float64 // time per good answer before the last, zero without one
	failed      bool    // the last was for a failure
	shareBefore float64 // before the first of the ineffective ones
}
