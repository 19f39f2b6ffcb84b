package admit

import "anvilstand/core/model"

// Limit returns the concurrency limit: how many requests may run at a time.
func (c *Controller) Limit() int { return c.slowStart.ramp.Limit(c.fullLimit()) }

// fullLimit returns the concurrency limit of a target that is warm, or that has a warm-up
// rate.
func (c *Controller) fullLimit() int {
	if c.capacity.slots > 0 {
		return c.bucket.capLimit(c.capacity.limit())
	}
	if c.reportedSlots > 0 {
		return c.bucket.capLimit(max(MinLimit, c.reportedSlots*usedSlotsPercent/100))
	}
	return c.bucket.capLimit(c.limiter.value())
}

// Running returns the number of requests that were started and not finished.
func (c *Controller) Running() int { return len(c.running) }

// Queued returns the number of requests in the queue.
func (c *Controller) Queued() int { return c.queue.size }

// Load returns the running and queued requests as a fraction of the limit. It is
// above 1 when the limit is used up and requests are queued.
func (c *Controller) Load() float64 {
	return float64(len(c.running)+c.queue.size) / float64(c.Limit())
}

// Level returns the admission level: callers should shed requests themselves whose
// position (rank, then order) is at or above it. model.PositionCount, as a level,
// admits every request.
func (c *Controller) Level() model.Position { return c.tuner.value() }

// missesDeadline reports whether a request that starts now would be answered
// after its deadline, going by the average latency, or by the time of its kind if the
// target reports its slowdown: routes of one service may differ by ten times.
func (c *Controller) missesDeadline(now model.Instant, t Ticket) bool {
	if c.disabled&FeatureDeadline != 0 {
		return false
	}
	if d, ok := c.model.KindTime(now, t.kind); ok {
		return !now.Add(d).Before(t.deadline)
	}
	return !now.Add(c.limiter.typicalLatency(now)).Before(t.deadline)
}

// maxQueued returns the number of requests to which the queue may grow.
func (c *Controller) maxQueued() int {
	limit := c.Limit()
	return c.capacity.maxQueued(limit, max(MinQueueLimit, limit*QueueLimitPercent/100))
}
