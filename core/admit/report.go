package admit

import (
	"time"

	"anvilstand/core/load"
	"anvilstand/core/model"
)

// Bounds of the work that callers have given up.
const (
	// minLimitFraction is the least part of the usual limit that is left by work that
	// callers have given up.
	minLimitFraction = 0.25
	// abandonedTimes is for how many times the work time an abandoned request counts at
	// most, also when reports do not show its end. Few requests take longer than that.
	abandonedTimes = 2
)

// capacity is what the reports of the target say about the limit and the queue. The zero
// value says nothing.
type capacity struct {
	slots int // as reported; zero without a report that counts
	// abandoned has the requests that the target may still run, by the time at which
	// their callers gave up.
	abandoned []model.Instant
	time      time.Duration // for a request that starts now, failures left out
	timeLeft  load.Mean     // that callers have when they come, in seconds
}

// Observe takes the load that the target reports with a response.
func (c *Controller) Observe(now model.Instant, r load.Report) {
	if c.model.Observe(now, r, c.reportedSlots) {
		c.capacity.checkAbandoned(r, len(c.running))
	}
	c.updateCapacity(now)
}

// checkAbandoned forgets abandoned requests that a report does not show to run. The one
// whose response has the report is still one of ours, and the target may have counted it
// or not. Other requests in a report are not believed to be there.
func (p *capacity) checkAbandoned(r load.Report, ours int) {
	left := max(0, r.Running()+r.Waiting()-ours+1)
	p.abandoned = p.abandoned[max(0, len(p.abandoned)-left):]
}

// updateCapacity takes the figures that the limit depends on from the model, none if
// the last report is too old.
func (c *Controller) updateCapacity(now model.Instant) {
	if _, ok := c.model.Slowdown(now); !ok {
		c.capacity = capacity{timeLeft: c.capacity.timeLeft}
		return
	}
	for len(c.capacity.abandoned) > 0 && now.Sub(c.capacity.abandoned[0]) > abandonedTimes*c.capacity.time {
		c.capacity.abandoned = c.capacity.abandoned[1:]
	}
	c.capacity.slots, c.capacity.time = c.model.Slots(), c.model.WorkTime(now)
}

// limit returns the concurrency limit by the reported slots. Work that callers have
// given up still uses slots of the target: it counts as if the slots were not there. The
// limit thus shrinks when requests take longer than callers have.
func (p *capacity) limit() int {
	usual := p.slots * usedSlotsPercent / 100
	return max(MinLimit, int(minLimitFraction*float64(usual)), usual-len(p.abandoned))
}

// maxQueued returns the number of requests that may wait: the last of them must still be
// answered in the time that callers have.
func (p *capacity) maxQueued(limit, usual int) int {
	if p.time == 0 || p.timeLeft.Value() == 0 {
		return usual
	}
	inTime := float64(limit) * (p.timeLeft.Value()/p.time.Seconds() - 1)
	return max(1, min(usual, int(inTime)))
}

// DiscardReport counts a load report of the target that cannot be used.
func (c *Controller) DiscardReport(why load.Reason) { c.model.Discard(why) }

// DiscardedReports returns how many load reports were discarded for a reason.
func (c *Controller) DiscardedReports(why load.Reason) uint64 { return c.model.Discarded(why) }

// Expected returns the time until a request that arrives now would be answered: the
// time for a request, and in proportion to the load when more requests run and wait than
// the limit allows to run. It is zero if the target does not report its slowdown.
func (c *Controller) Expected(now model.Instant) time.Duration {
	t, ok := c.model.Time(now)
	if !ok {
		return 0
	}
	return time.Duration(float64(t) * max(1, c.Load()))
}

// recordAnswer records what the end of a request tells about the time for a request.
func (c *Controller) recordAnswer(now model.Instant, k load.Kind, o Outcome) {
	switch o := o.(type) {
	case Served:
		if o.isError {
			c.model.RecordFailure(now)
			return
		}
		c.model.RecordSuccess(now, k, o.took)
	case Rejected, Failed:
		c.model.RecordFailure(now)
	case Abandoned:
		if o.stillRuns {
			c.capacity.abandoned = append(c.capacity.abandoned, now)
		}
	}
}
