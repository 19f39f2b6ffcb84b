package admit

import "anvilstand/core/model"

// Limit returns how many requests may run at a time.
func (g *Gate) Limit() int {
	if g.told > 0 {
		return g.pace.bound(max(MinLimit, g.told*toldPercent/100))
	}
	return g.pace.bound(g.limiter.value())
}

// Running returns how many requests run.
func (g *Gate) Running() int { return len(g.running) }

// Queued returns how many requests wait.
func (g *Gate) Queued() int { return g.queue.size }

// Load returns how much of the limit is taken, by those that run and wait.
func (g *Gate) Load() float64 {
	return float64(len(g.running)+g.queue.size) / float64(g.Limit())
}

// Level returns the place from which callers should refuse requests
// themselves. model.Places admits all.
func (g *Gate) Level() model.Place { return g.tuner.value() }

// hopeless reports whether a request cannot be answered in its time.
func (g *Gate) hopeless(now model.Instant, t Ticket) bool {
	if g.off&PartLate != 0 {
		return false
	}
	return !now.Add(g.limiter.typical(now)).Before(t.deadline)
}

// queueBound returns how many requests may wait.
func (g *Gate) queueBound() int { return max(MinQueue, g.Limit()*QueuePercent/100) }
