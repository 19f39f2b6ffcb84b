package ramp

import (
	"math"
	"time"

	"anvilstand/core/model"
)

// Active reports whether the ramp is on.
func (r *Ramp) Active() bool { return r.cause != nil }

// Limit returns how many requests may run at a target whose limit is given: at least one,
// and all of the limit when the ramp is off.
func (r *Ramp) Limit(limit int) int {
	if r.cause == nil {
		return limit
	}
	return min(limit, max(1, int(math.Ceil(r.share*float64(limit)))))
}

// Share returns the share of the limit, 1 when the ramp is off.
func (r *Ramp) Share() float64 {
	if r.cause == nil {
		return 1
	}
	return r.share
}

// Cause returns why the ramp is on, nil when it is off.
func (r *Ramp) Cause() Cause { return r.cause }

// HasReference reports whether the time of the warm target's answers is known.
func (r *Ramp) HasReference() bool { return r.reference > 0 }

// LastEnd returns why the last ramp ended, nil before that.
func (r *Ramp) LastEnd() EndReason { return r.lastEnd }

// Starts returns how many ramps have begun.
func (r *Ramp) Starts() int { return r.starts }

// LastDuration returns how long the last ramp that ended was on.
func (r *Ramp) LastDuration() time.Duration { return r.lastDuration }

// Decreases returns how often the share of this or the last ramp was lowered.
func (r *Ramp) Decreases() int { return r.decreases.total }

// Slowest returns the greatest time per good answer in this or the last ramp, as a
// multiple of that of the warm target, zero if there was none.
func (r *Ramp) Slowest() float64 { return r.slowest }

// isCurrent reports whether a request that started at an instant ran at the present share.
func (r *Ramp) isCurrent(started model.Instant) bool {
	return r.cause != nil && !started.Before(r.countedFrom)
}

// cost returns the time per good answer in the window, as a multiple of the usual time,
// divided by the share of good answers.
func (r *Ramp) cost() float64 {
	w := r.window
	if w.successes == 0 {
		return 0
	}
	return w.times / float64(w.successes) * float64(w.successes+w.failures) / float64(w.successes)
}

// isLongEnough reports whether the window, which has a good answer, has lasted long enough
// for the share to grow.
func (r *Ramp) isLongEnough(now model.Instant) bool {
	return now.Sub(r.window.start).Seconds() >= windowTimes*r.window.seconds/float64(r.window.successes)
}

// tolerance returns the time per good answer, as a multiple of that of the warm target,
// above which answers count as slower.
func (r *Ramp) tolerance() float64 {
	if r.failing {
		return failingTolerance
	}
	return tolerance
}
