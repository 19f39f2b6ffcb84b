package admit

import "anvilstand/core/model"

// Offer asks for admission of a ticket, which is started at once, queued, or
// refused. The error is a *model.Refusal. A ticket that is queued may displace
// another one of the queue, which is then dropped.
func (g *Gate) Offer(now model.Instant, t Ticket, out *Outbox) error {
	if g.closed {
		return model.Refuse(model.Leaving{}, 0)
	}
	g.tuner.recordOffer(now, t.place)
	if g.missesDeadline(now, t) {
		return model.Refuse(model.Late{}, 0)
	}
	if len(g.running) < g.Limit() && g.queue.size == 0 && g.bucket.ready(now) {
		g.tuner.recordQueued(0)
		g.start(now, t, out)
		return nil
	}
	if victim, full := g.queue.add(t, g.maxQueued()); full {
		refusal := model.Refuse(queueFullReason(victim, t), RetryAfter)
		if victim.id == t.id {
			return refusal
		}
		out.add(Drop{id: victim.id, refusal: refusal})
	}
	g.limiter.recordLimitReached()
	g.Tick(now, out)
	return nil
}

// queueFullReason returns Shed when the victim lost its place in a full queue to
// a ticket of a more important rank, and QueueFull otherwise.
func queueFullReason(victim, t Ticket) model.Reason {
	if victim.place.Rank() > t.place.Rank() {
		return model.Shed{}
	}
	return model.QueueFull{}
}

// Finish records the outcome of a started ticket. It ignores unknown ids.
func (g *Gate) Finish(now model.Instant, id uint64, o Outcome, out *Outbox) {
	startTime, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	g.limiter.finish(now, startTime, o, len(g.running))
	g.tuner.recordOutcome(o)
	g.Tick(now, out)
}

// Leave removes a ticket from the queue, because its caller went away. It has no
// effect on a started ticket, which needs Finish.
func (g *Gate) Leave(id uint64) { g.queue.remove(id) }

// Close refuses all new tickets, for a planned stop. Queued and started ones
// continue.
func (g *Gate) Close() { g.closed = true }

// Tick starts queued tickets while the limit allows, and drops those among them
// that cannot meet their deadline any more.
func (g *Gate) Tick(now model.Instant, out *Outbox) {
	g.tuner.tick(now)
	for g.queue.size > 0 && len(g.running) < g.Limit() && g.bucket.ready(now) {
		t := g.queue.next(g.tuner.standingQueue)
		if g.missesDeadline(now, t) {
			out.add(Drop{id: t.id, refusal: model.Refuse(model.Late{}, 0)})
			continue
		}
		g.start(now, t, out)
	}
	g.tuner.recordQueued(g.queue.size)
}

// start records a ticket as running and tells the caller to start it.
func (g *Gate) start(now model.Instant, t Ticket, out *Outbox) {
	if g.running == nil {
		g.running = map[uint64]model.Instant{}
	}
	g.running[t.id] = now
	g.bucket.take(now)
	g.limiter.recordRunning(len(g.running))
	if len(g.running) >= g.Limit() {
		g.limiter.recordLimitReached()
	}
	out.add(Start{id: t.id})
}
