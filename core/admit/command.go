package admit

import (
	"slices"

	"anvilstand/core/model"
)

// Offer brings a ticket to the gate. It is started at once, queued, or refused
// by the error, a *model.Refusal.
func (g *Gate) Offer(now model.Instant, t Ticket, out *Outbox) error {
	if g.closed {
		return model.Refuse(model.Leaving{}, 0)
	}
	if !now.Before(t.deadline) {
		return model.Refuse(model.Late{}, 0)
	}
	if len(g.running) < g.Limit() {
		g.start(now, t, out)
		return nil
	}
	if len(g.queue) >= g.Limit()*QueueFactor {
		return model.Refuse(model.QueueFull{}, RetryWait)
	}
	g.queue = append(g.queue, t)
	return nil
}

// Finish ends a ticket that was started.
func (g *Gate) Finish(now model.Instant, id uint64, _ Outcome, out *Outbox) {
	delete(g.running, id)
	g.Tick(now, out)
}

// Leave takes a ticket out of the queue, because its caller went away.
func (g *Gate) Leave(id uint64) {
	g.queue = slices.DeleteFunc(g.queue, func(t Ticket) bool { return t.id == id })
}

// Close refuses all tickets from now on, for a planned stop. Those at the gate
// go on.
func (g *Gate) Close() { g.closed = true }

// Tick drops the tickets past their deadline and starts what has room.
func (g *Gate) Tick(now model.Instant, out *Outbox) {
	for len(g.queue) > 0 && len(g.running) < g.Limit() {
		t := g.queue[0]
		g.queue = g.queue[1:]
		if !now.Before(t.deadline) {
			out.add(Drop{id: t.id, refusal: model.Refuse(model.Late{}, 0)})
			continue
		}
		g.start(now, t, out)
	}
}

func (g *Gate) start(now model.Instant, t Ticket, out *Outbox) {
	if g.running == nil {
		g.running = map[uint64]model.Instant{}
	}
	g.running[t.id] = now
	out.add(Start{id: t.id})
}
