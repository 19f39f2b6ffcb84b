package ramp

import (
	"time"

	"anvilstand/core/model"
)

// Begin begins a ramp, or begins it anew. successRate is the part of the warm target's
// answers that were good. If the warm target is not known, the first answers are taken as
// the reference.
func (r *Ramp) Begin(now model.Instant, c Cause, known bool, successRate float64) {
	*r = Ramp{
		cause: c, lastEnd: r.lastEnd, starts: r.starts + 1, began: now, share: startShare, growth: maxGrowth,
		lastTrouble: now, countedFrom: now, lastDuration: r.lastDuration, window: window{start: now},
	}
	if known && successRate > 0 {
		r.reference = 1 / successRate
		r.failing = successRate < 1/tolerance
	}
}

// Stop ends the ramp, if it is on.
func (r *Ramp) Stop(now model.Instant, why EndReason) {
	if r.cause != nil {
		r.cause, r.lastEnd, r.lastDuration = nil, why, now.Sub(r.began)
	}
}

// RecordRunning records how many requests run, with the limit of the ramp.
func (r *Ramp) RecordRunning(running, limit int) {
	r.window.used = r.window.used || 2*running >= limit
}

// RecordSuccess records a good answer to a request that started at an instant. Its time is
// that at the usual speed of the machine, usual that of the warm target for such a request
// (zero if not known). The limit is that of the warm target.
func (r *Ramp) RecordSuccess(now, started model.Instant, took, usual time.Duration, limit int) {
	if !r.isCurrent(started) || started.Before(r.timedFrom) {
		return
	}
	r.window.successes++
	r.window.seconds += took.Seconds()
	if usual > 0 {
		r.window.times += took.Seconds() / usual.Seconds()
	} else {
		r.window.times++
	}
	r.closeWindow(now, limit)
}

// RecordFailure records an answer that was a failure or a rejection, or that did not come.
// It lowers the share at once, unless failures are known not to come from the load.
func (r *Ramp) RecordFailure(now, started model.Instant, limit int) {
	if !r.isCurrent(started) {
		return
	}
	r.window.failures++
	if r.failing {
		r.closeWindow(now, limit)
		return
	}
	r.shrink(now, r.cost(), true)
}

// closeWindow changes the share once there are enough answers.
func (r *Ramp) closeWindow(now model.Instant, limit int) {
	if r.cause == (Failed{}) && now.Sub(r.lastTrouble) >= quietTime {
		r.Stop(now, Quiet{})
		return
	}
	w := r.window
	if w.successes < max(minWindowAnswers, min(windowAnswers, r.Limit(limit))) {
		return
	}
	cost := r.cost()
	if r.reference == 0 {
		if !r.isLongEnough(now) {
			return
		}
		r.reference = cost
	}
	r.slowest = max(r.slowest, cost/r.reference)
	if cost > r.tolerance()*r.reference {
		r.shrink(now, cost, false)
		return
	}
	if !r.isLongEnough(now) {
		return
	}
	if r.decreases.shareBefore > 0 {
		r.growth = carefulGrowth
	}
	r.window, r.decreases = window{start: now}, decreases{total: r.decreases.total}
	if !w.used {
		return
	}
	r.share *= r.growth
	r.growth = min(maxGrowth, r.growth*carefulGrowth)
	r.countedFrom = now
	r.timedFrom = now.Add(time.Duration(w.seconds / float64(w.successes) * float64(time.Second)))
	r.window.start = r.timedFrom
	if r.share >= 1 {
		r.Stop(now, AtLimit{})
	}
}

// shrink lowers the share because answers were slow or failed. If the last decreases did
// not help, the load is not the reason: the share is as before them, and these answers are
// the reference from now on.
func (r *Ramp) shrink(now model.Instant, cost float64, failed bool) {
	s := &r.decreases
	if s.shareBefore > 0 && r.helped(cost, failed) {
		*s = decreases{total: s.total}
	}
	if s.shareBefore == 0 {
		s.shareBefore = r.share
	} else {
		s.ineffective++
	}
	r.lastTrouble, r.countedFrom, r.timedFrom = now, now, now
	bad, most := r.window.failures > 0, maxIneffectiveSlow
	if failed {
		most = maxIneffectiveFailed
	}
	r.window = window{start: now}
	if s.ineffective >= most {
		r.share, r.growth, r.reference = min(1, s.shareBefore*maxGrowth), maxGrowth, cost
		r.failing = r.failing || bad
		*s = decreases{total: s.total}
		return
	}
	s.costBefore, s.failed = cost, failed
	s.total++
	r.share = max(minShare, r.share*decreaseFactor)
}

// helped reports whether the last decrease made the answers better.
func (r *Ramp) helped(cost float64, failed bool) bool {
	return !failed && (r.decreases.failed || cost <= effectiveFactor*r.decreases.costBefore)
}
