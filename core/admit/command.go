package admit

import "anvilstand/core/model"

// Offer asks for admission of a ticket, which is started at once, queued, or
// refused. The error is a *model.Refusal. A ticket that is queued may displace
// another one of the queue, which is then rejected.
func (c *Controller) Offer(now model.Instant, t Ticket, out *Outbox) error {
	if c.closed {
		return model.Refuse(model.Leaving{}, 0)
	}
	c.tuner.recordOffer(now, t.position)
	c.capacity.timeLeft.Add(now, t.deadline.Sub(now).Seconds())
	c.updateCapacity(now)
	if c.missesDeadline(now, t) {
		return model.Refuse(model.Late{}, 0)
	}
	if len(c.running) < c.Limit() && c.queue.size == 0 && c.bucket.ready(now) {
		c.tuner.recordQueued(0)
		c.start(now, t, out)
		return nil
	}
	if victim, full := c.queue.add(t, c.maxQueued()); full {
		refusal := model.Refuse(queueFullReason(victim, t), QueueFullRetryAfter)
		if victim.id == t.id {
			return refusal
		}
		out.add(Reject{id: victim.id, refusal: refusal})
	}
	c.limiter.recordLimitReached()
	c.Tick(now, out)
	return nil
}

// queueFullReason returns Shed when the victim was displaced from a full queue
// by a ticket of a more important rank, and QueueFull otherwise.
func queueFullReason(victim, t Ticket) model.Reason {
	if victim.position.Rank() > t.position.Rank() {
		return model.Shed{}
	}
	return model.QueueFull{}
}

// Finish records the outcome of a started ticket. It ignores unknown ids.
func (c *Controller) Finish(now model.Instant, id uint64, o Outcome, out *Outbox) {
	r, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	c.limiter.rampOnRestart = c.replacesSlowStart()
	c.limiter.finish(now, r.start, o, len(c.running))
	c.tuner.recordOutcome(o)
	c.recordRamp(now, r, o)
	c.recordAnswer(now, r.kind, o)
	c.Tick(now, out)
}

// Cancel removes a ticket from the queue, because its caller went away. It has no
// effect on a started ticket, which needs Finish.
func (c *Controller) Cancel(id uint64) { c.queue.remove(id) }

// Close refuses all new tickets, for a planned stop. Queued and started ones
// continue.
func (c *Controller) Close() { c.closed = true }

// Tick starts queued tickets while the limit and the warm-up rate allow, and
// rejects those among them that cannot meet their deadline any more.
func (c *Controller) Tick(now model.Instant, out *Outbox) {
	c.tuner.tick(now)
	c.updateCapacity(now)
	for c.queue.size > 0 && len(c.running) < c.Limit() && c.bucket.ready(now) {
		t := c.queue.takeNext(c.tuner.standingQueue)
		if c.missesDeadline(now, t) {
			out.add(Reject{id: t.id, refusal: model.Refuse(model.Late{}, 0)})
			continue
		}
		c.start(now, t, out)
	}
	c.tuner.recordQueued(c.queue.size)
}

// start records a ticket as running and tells the caller to start it.
func (c *Controller) start(now model.Instant, t Ticket, out *Outbox) {
	if c.running == nil {
		c.running = map[uint64]run{}
	}
	c.running[t.id] = run{start: now, kind: t.kind}
	c.bucket.take(now)
	c.limiter.recordRunning(len(c.running))
	c.slowStart.ramp.RecordRunning(len(c.running), c.Limit())
	if len(c.running) >= c.Limit() {
		c.limiter.recordLimitReached()
	}
	out.add(Start{id: t.id})
}
