package admit

import "anvilstand/core/model"

// Offer brings a ticket to the gate. It is started at once, queued, or refused
// by the error, a *model.Refusal.
func (g *Gate) Offer(now model.Instant, t Ticket, out *Outbox) error {
	if g.closed {
		return model.Refuse(model.Leaving{}, 0)
	}
	g.tuner.offered(now, t.place)
	if g.hopeless(now, t) {
		return model.Refuse(model.Late{}, 0)
	}
	if len(g.running) < g.Limit() && g.queue.size == 0 && g.pace.ready(now) {
		g.tuner.queued(0)
		g.start(now, t, out)
		return nil
	}
	if victim, full := g.queue.add(t, g.queueBound()); full {
		refusal := model.Refuse(fullReason(victim, t), RetryWait)
		if victim.id == t.id {
			return refusal
		}
		out.add(Drop{id: victim.id, refusal: refusal})
	}
	g.limiter.pressed()
	g.Tick(now, out)
	return nil
}

func fullReason(victim, t Ticket) model.Reason {
	if victim.place.Rank() > t.place.Rank() {
		return model.Shed{}
	}
	return model.QueueFull{}
}

// Finish ends a ticket that was started.
func (g *Gate) Finish(now model.Instant, id uint64, o Outcome, out *Outbox) {
	began, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	g.limiter.finish(now, began, o, len(g.running))
	g.tuner.done(o)
	g.Tick(now, out)
}

// Leave takes a ticket out of the queue, because its caller went away.
func (g *Gate) Leave(id uint64) { g.queue.remove(id) }

// Close refuses all tickets from now on, for a planned stop. Those at the gate
// go on.
func (g *Gate) Close() { g.closed = true }

// Tick drops the tickets that come too late and starts what has room.
func (g *Gate) Tick(now model.Instant, out *Outbox) {
	g.tuner.tick(now)
	for g.queue.size > 0 && len(g.running) < g.Limit() && g.pace.ready(now) {
		t := g.queue.next(g.tuner.standing)
		if g.hopeless(now, t) {
			out.add(Drop{id: t.id, refusal: model.Refuse(model.Late{}, 0)})
			continue
		}
		g.start(now, t, out)
	}
	g.tuner.queued(g.queue.size)
}

func (g *Gate) start(now model.Instant, t Ticket, out *Outbox) {
	if g.running == nil {
		g.running = map[uint64]model.Instant{}
	}
	g.running[t.id] = now
	g.pace.take(now)
	g.limiter.running(len(g.running))
	if len(g.running) >= g.Limit() {
		g.limiter.pressed()
	}
	out.add(Start{id: t.id})
}
