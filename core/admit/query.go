package admit

// Limit returns how many requests may run at a time.
func (g *Gate) Limit() int {
	if g.limit == 0 {
		return DefaultLimit
	}
	return g.limit
}

// Running returns how many requests run.
func (g *Gate) Running() int { return len(g.running) }

// Queued returns how many requests wait.
func (g *Gate) Queued() int { return len(g.queue) }
