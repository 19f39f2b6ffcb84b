package admit

import "anvilstand/core/model"

// Limit returns the concurrency limit: how many requests may run at a time.
func (g *Gate) Limit() int {
	if g.reportedSlots > 0 {
		return g.bucket.capLimit(max(MinLimit, g.reportedSlots*usedSlotsPercent/100))
	}
	return g.bucket.capLimit(g.limiter.value())
}

// Running returns the number of requests that were started and not finished.
func (g *Gate) Running() int { return len(g.running) }

// Queued returns the number of requests in the queue.
func (g *Gate) Queued() int { return g.queue.size }

// Load returns the running and queued requests as a fraction of the limit. It is
// above 1 when the limit is used up and requests are queued.
func (g *Gate) Load() float64 {
	return float64(len(g.running)+g.queue.size) / float64(g.Limit())
}

// Level returns the level of priority from which on callers should shed requests
// themselves: those whose position (rank, then order) is at or above it.
// model.Places admits all.
func (g *Gate) Level() model.Place { return g.tuner.value() }

// missesDeadline reports whether a request that starts now would be answered
// after its deadline, going by the average latency.
func (g *Gate) missesDeadline(now model.Instant, t Ticket) bool {
	if g.disabled&PartLate != 0 {
		return false
	}
	return !now.Add(g.limiter.typicalLatency(now)).Before(t.deadline)
}

// maxQueued returns the length to which the queue may grow.
func (g *Gate) maxQueued() int { return max(MinQueueLimit, g.Limit()*QueueLimitPercent/100) }
