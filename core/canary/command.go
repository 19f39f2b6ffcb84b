package canary

import (
	"maps"
	"slices"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Relist sets the orders in force as SetOrders does, after changes may have been missed.
// The states are compared with the store, which may have lost them. At the first listing
// of a process an order may have gone far with the process before: see mayBePromoted.
func (c *Controller) Relist(now model.Instant, orders []Order) {
	known := c.Orders()
	c.SetOrders(now, orders)
	for s, r := range c.rollouts {
		r.stored = Unknown{}
		if !c.listed && known[s] != r.order {
			r.isResumed, r.resumedAt = true, now
		}
	}
	c.listed = true
}

// SetOrders sets the orders in force, in place of those set before. The same order set
// again goes on where it was; one that is no longer set is frozen.
func (c *Controller) SetOrders(now model.Instant, orders []Order) {
	present := map[model.Service]bool{}
	for _, o := range orders {
		present[o.service] = true
		r, ok := c.rollouts[o.service]
		if ok && r.order == o {
			r.deleted = false
			continue
		}
		next := c.newRollout(now, o)
		if ok {
			maps.Copy(next.blocked, r.blocked)
			if _, completed := r.state.(Completed); !completed {
				next.blocked[r.order.version] = true
			}
			delete(next.blocked, o.version)
		}
		c.rollouts[o.service] = next
	}
	for s, r := range c.rollouts {
		if !present[s] {
			r.deleted = true
		}
	}
}

// NoteWatcher records whether this daemon is a watcher, which decides on promotions and
// writes the states to the store.
func (c *Controller) NoteWatcher(isWatcher bool) { c.isWatcher = isWatcher }

// TakeStored takes the state that the store has for an order: Unknown if it has none.
// A final state there takes precedence over what this daemon believes.
func (c *Controller) TakeStored(now model.Instant, o Order, s State) Outgoing {
	r, ok := c.rollouts[o.service]
	if !ok || r.order != o {
		return nil
	}
	r.stored, r.storedAt = s, now
	if IsFinal(s) {
		r.move(now, s, "store")
		return r.announce(now)
	}
	if rankOf(r.state) < rankOf(s) && rankOf(s) == rankOf(Active{}) {
		r.move(now, s, "store")
	}
	return nil
}

// move changes the state. It goes forward only, but a completion, which only the store
// decides, also ends a rollback that it does not have.
func (r *rollout) move(now model.Instant, s State, reason string) bool {
	_, toCompleted := s.(Completed)
	_, fromRolledBack := r.state.(RolledBack)
	if rankOf(s) <= rankOf(r.state) && (!toCompleted || !fromRolledBack) {
		return false
	}
	if rankOf(s) == rankOf(Promoted{}) {
		r.promotedAt = now
	}
	r.state, r.reason = s, reason
	return true
}

// announce returns the reports that tell a change of the state in all directions.
func (r *rollout) announce(now model.Instant) Outgoing {
	if r.controller.isWatcher {
		return Outgoing{r.report(now, Branch{}), r.report(now, Domain{}), r.report(now, Fleet{})}
	}
	return Outgoing{r.report(now, Subtree{}), r.report(now, Fleet{})}
}

// Receive takes the report of another daemon. The second result are answers to its
// sender.
func (c *Controller) Receive(now model.Instant, from fleet.Member, rep Report) (out, answers Outgoing) {
	r, ok := c.rollouts[rep.order.service]
	if !ok || r.order != rep.order {
		return nil, nil
	}
	if r.isFinal() && !IsFinal(rep.state) {
		return nil, Outgoing{r.report(now, Fleet{})}
	}
	if started := now.Add(-min(rep.elapsed, 2*r.order.duration)); started.Before(r.startedAt) {
		r.startedAt = started
	}
	if r.adopt(now, rep) {
		return r.announce(now), nil
	}
	return r.take(now, c.self, from, rep), nil
}

// adopt takes the state of a report, and reports whether others have to be told at once.
// A promotion is not adopted against own evidence.
func (r *rollout) adopt(now model.Instant, rep Report) bool {
	_, fromBelow := rep.scope.(Subtree)
	r.informed = r.informed || (!fromBelow && rankOf(rep.state) >= rankOf(Active{}))
	if rep.stored && IsFinal(rep.state) {
		r.stored = rep.state
	}
	switch rep.state.(type) {
	case Unknown:
		return false
	case Active:
		r.move(now, Active{}, "heard")
		return false
	case Promoted:
		if r.judge.IsClear() && r.ownJudge.IsClear() {
			return r.move(now, Promoted{}, "heard")
		}
		r.move(now, Active{}, "heard")
		return false
	case Completed, RolledBack:
		return r.move(now, rep.state, "heard")
	}
	return false
}

// take keeps the counts of a report. It returns the report if it goes on down the tree.
func (r *rollout) take(now model.Instant, self, from fleet.Member, rep Report) Outgoing {
	got, sameDomain := received{report: rep, at: now}, from.Domain() == self.Domain()
	switch rep.scope.(type) {
	case Subtree:
		if sameDomain {
			r.children[from.Name()] = got
			sourceOf(r.below, from.Name()).take(now, from, rep.counts)
		}
	case Branch:
		if sameDomain {
			r.watchers[from.Name()] = got
			sourceOf(r.beside, from.Name()).take(now, from, rep.counts)
		}
	case Domain:
		if !sameDomain {
			r.domains[from.Domain()] = got
			sourceOf(r.across, from.Domain()).take(now, from, rep.counts)
		}
	case Fleet:
		r.fleet, r.fleetAt, r.hasFleet = rep, now, true
		r.above.take(now, from, rep.counts)
		// Two daemons whose views of the tree differ may each take the other for one
		// below it.
		if !r.controller.isWatcher && (r.forwardedAt == 0 || now.Sub(r.forwardedAt) >= forwardInterval) {
			r.forwardedAt = now
			return Outgoing{rep}
		}
	}
	return nil
}

// Tick judges the evidence and returns the reports that are due. It has to be called
// several times a second while IsOpen.
func (c *Controller) Tick(now model.Instant, s Surroundings) Outgoing {
	var out Outgoing
	for _, service := range slices.Sorted(maps.Keys(c.rollouts)) {
		if r := c.rollouts[service]; r.isOpen() {
			out = append(out, r.tick(now, c.self, s)...)
		}
	}
	return out
}

func (r *rollout) tick(now model.Instant, self fleet.Member, s Surroundings) Outgoing {
	if r.stored != (Unknown{}) && now.Sub(r.storedAt) >= recheckInterval {
		r.stored = Unknown{}
	}
	r.own, r.ownGate = s.counts(r.order), 0
	_, isPromoted := r.state.(Promoted)
	// What the process before this one sent to the target may still run there.
	restarted := r.isResumed && now.Sub(r.resumedAt) < resumeWait
	if s.gateIdle(r.order) && isPromoted && !restarted {
		r.ownGate = gateHash(self.Name(), self.Incarnation())
	}
	r.noteMembers(now, s.members)
	r.expire(now)
	r.ownJudge.Update(r.own)
	counts, gates := r.pooled()
	r.judge.Update(counts)
	r.usual = r.judge.usualTimes()
	if r.decide(now, s, counts, gates) {
		r.reportedAt = now
		return r.announce(now)
	}
	if !r.controller.isWatcher {
		_, gates = r.subtree()
	}
	// A gate that has become idle is told at the next tick: the rest of the time limit is
	// for the last requests at the old targets.
	if r.reportedAt != 0 && now.Sub(r.reportedAt) < ReportInterval && gates == r.gatesSent {
		return nil
	}
	r.reportedAt, r.gatesSent = now, gates
	if r.controller.isWatcher {
		return Outgoing{r.report(now, Branch{}), r.report(now, Domain{}), r.report(now, Fleet{})}
	}
	return Outgoing{r.report(now, Subtree{})}
}

// noteMembers records since when the new targets are listed.
func (r *rollout) noteMembers(now model.Instant, members []fleet.Member) {
	listed := map[model.Instance]model.Instant{}
	for _, m := range members {
		if m.Service() != r.order.service || m.Version() != r.order.version {
			continue
		}
		at, ok := r.warmAt[m.Name()]
		if !ok {
			at = now.Add(warmTime)
		}
		listed[m.Name()] = at
	}
	r.warmAt = listed // a new map, since plans share the old one
}

// expire drops reports that are too old to be counted.
func (r *rollout) expire(now model.Instant) {
	isOld := func(got received) bool { return now.Sub(got.at) > reportExpiry }
	maps.DeleteFunc(r.children, func(_ model.Instance, got received) bool { return isOld(got) })
	maps.DeleteFunc(r.watchers, func(_ model.Instance, got received) bool { return isOld(got) })
	maps.DeleteFunc(r.domains, func(_ model.Domain, got received) bool { return isOld(got) })
}

// decide changes the state by the evidence, and reports whether it did.
func (r *rollout) decide(now model.Instant, s Surroundings, counts Counts, gates uint64) bool {
	for _, j := range []*Judge{&r.ownJudge, &r.judge} {
		if alarm, route := j.Alarm(); alarm != nil {
			r.isOwnRollback = true
			return r.move(now, RolledBack{}, AlarmName(alarm)+" on "+string(route))
		}
	}
	if !r.controller.isWatcher {
		return false
	}
	var expected uint64
	expected, r.oldCount, r.newCount = gateSum(r.order, s.members, func(v string) bool { return r.blocked[v] })
	if expected != r.gatesAll {
		r.gatesAll, r.gatesAllAt = expected, now
	}
	isSettled := len(r.blocked) == 0 || now.Sub(r.startedAt) >= listTime
	r.seenOld = r.seenOld || (r.oldCount > 0 && isSettled)
	switch r.state.(type) {
	case Active:
		return r.decideActive(now, counts)
	case Promoted:
		// The target of a daemon that has left may still run what that one sent.
		hasChanged := now.Sub(r.gatesAllAt) < resumeWait
		if gates != expected || r.newCount == 0 || now.Sub(r.promotedAt) < gateDelay || hasChanged {
			r.gatesDone = 0
		} else {
			r.gatesDone++
		}
	case Unknown, Completed, RolledBack:
	}
	return false
}

// decideActive promotes the new version, or rolls it back at the time limit.
func (r *rollout) decideActive(now model.Instant, counts Counts) bool {
	elapsed, limit := now.Sub(r.startedAt), r.order.duration
	_, answers := counts.Totals()
	isGood := r.newCount > 0 && r.judge.IsClear() && r.ownJudge.IsClear() && r.judge.IsAsFast()
	// Times are taken only where those of the old version are known, which a daemon that
	// has restarted has to learn again: answers without them would hide a slow version.
	// Very few may have none.
	isTimed := 2*answers.timed >= answers.answers
	isGoodByMany := isGood && answers.answers >= minAnswers && isTimed
	isGoodByFew := isGood && answers.answers >= minSparseAnswers && (isTimed || answers.answers < minAnswers) &&
		r.judge.IsClearByFew() && !r.isResumed
	switch {
	case !r.seenOld && r.oldCount == 0 && !r.isResumed && r.newCount > 0 && elapsed >= gateDelay:
		return r.move(now, Promoted{}, "no old targets")
	case isGoodByMany && elapsed >= part(limit, promoteAt):
		return r.move(now, Promoted{}, "as good as the old version")
	case isGoodByFew && elapsed >= part(limit, promoteSparseAt):
		return r.move(now, Promoted{}, "as good as the old version, few answers")
	case elapsed >= limit:
		r.isOwnRollback = true
		return r.move(now, RolledBack{}, "not decided within the time limit")
	}
	return false
}

// part returns a part of a time.
func part(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}
