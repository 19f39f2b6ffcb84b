package canary

import (
	"maps"
	"slices"
	"time"

	"anvilstand/core/model"
)

func (r *rollout) isFinal() bool { return IsFinal(r.state) }

// isOpen reports whether an order is still to be decided.
func (r *rollout) isOpen() bool { return !r.deleted && !r.isFinal() }

// IsOpen reports whether an order is still to be decided.
func (c *Controller) IsOpen() bool {
	for _, r := range c.rollouts {
		if r.isOpen() {
			return true
		}
	}
	return false
}

// Orders returns the orders by service.
func (c *Controller) Orders() map[model.Service]Order {
	orders := map[model.Service]Order{}
	for s, r := range c.rollouts {
		orders[s] = r.order
	}
	return orders
}

// subtree returns the counts and gates of this daemon and those below it.
func (r *rollout) subtree() (Counts, uint64) {
	counts, gates := r.own, r.ownGate
	for _, got := range r.children {
		gates += got.report.gates
	}
	for _, s := range r.below {
		counts = counts.plus(s.sum)
	}
	return counts, gates
}

// ofDomain returns those of the own failure domain. It is complete at a watcher.
func (r *rollout) ofDomain() (Counts, uint64) {
	counts, gates := r.subtree()
	for _, got := range r.watchers {
		gates += got.report.gates
	}
	for _, s := range r.beside {
		counts = counts.plus(s.sum)
	}
	return counts, gates
}

// pooled returns the counts and gates of the fleet: at a watcher the sum of what the
// failure domains report, at another daemon what it last heard from above.
func (r *rollout) pooled() (Counts, uint64) {
	if !r.controller.isWatcher {
		return r.above.sum, r.fleet.gates
	}
	counts, gates := r.ofDomain()
	for _, got := range r.domains {
		gates += got.report.gates
	}
	for _, s := range r.across {
		counts = counts.plus(s.sum)
	}
	return counts, gates
}

// report returns the report of a scope.
func (r *rollout) report(now model.Instant, scope Scope) Report {
	rep := NewReport(r.order, scope, r.reportedState(now), now.Sub(r.startedAt))
	if IsFinal(r.state) && r.stored == r.state {
		rep = rep.AsStored()
	}
	switch scope.(type) {
	case Subtree, Branch:
		return rep.WithCounts(r.subtree())
	case Domain:
		return rep.WithCounts(r.ofDomain())
	case Fleet:
		return rep.WithCounts(r.pooled())
	}
	return rep
}

// reportedState returns the state that others are told. A daemon that has restarted and
// not heard from one that knows better does not vouch that there was no promotion.
func (r *rollout) reportedState(now model.Instant) State {
	_, isActive := r.state.(Active)
	if isActive && r.isResumed && (!r.informed || r.mayBePromoted(now)) && now.Sub(r.resumedAt) < resumeWait {
		return Unknown{}
	}
	return r.state
}

// Plans returns the plans for traffic by service. Only services with an order have one.
func (c *Controller) Plans(now model.Instant) map[model.Service]Plan {
	if len(c.rollouts) == 0 {
		return nil
	}
	plans := map[model.Service]Plan{}
	for s, r := range c.rollouts {
		if p, ok := r.plan(now); ok {
			plans[s] = p
		}
	}
	return plans
}

func (r *rollout) plan(now model.Instant) (Plan, bool) {
	_, completed := r.state.(Completed)
	if r.deleted && completed {
		return Plan{}, false
	}
	p := Plan{order: r.order, state: r.state, madeAt: now, warmAt: r.warmAt, blocked: r.blocked, usual: r.usual}
	if r.deleted {
		p.state = RolledBack{}
		return p, true
	}
	switch r.state.(type) {
	case Active:
		p.share, p.closed = r.share(now), r.mayBePromoted(now)
	case Promoted:
		p.closed = now.Sub(r.promotedAt) >= gateDelay
	case Completed:
		p.closed, p.takesUnlisted = true, r.isResumed
	case RolledBack:
		// The store may still get the completion of another watcher: until it has the
		// rollback, the old targets stay as they are.
		_, isStored := r.stored.(RolledBack)
		p.closed = r.promotedAt != 0 && now.Sub(r.promotedAt) >= gateDelay && !isStored
	case Unknown:
		p.closed = r.mayBePromoted(now)
	}
	return p, true
}

// mayBePromoted reports whether others may count the gate of this daemon's target as
// closed, because it was before the daemon restarted.
func (r *rollout) mayBePromoted(now model.Instant) bool {
	if !r.isResumed || now.Sub(r.resumedAt) >= resumeWait {
		return false
	}
	return !r.informed || now.Sub(r.startedAt) >= part(r.order.duration, promoteAt)-gateDelay
}

// share returns the share of the new version while the state is active.
func (r *rollout) share(now model.Instant) float64 {
	if !r.controller.isWatcher && (!r.hasFleet || now.Sub(r.fleetAt) >= contactExpiry) {
		return 0
	}
	if !r.judge.IsClear() || !r.ownJudge.IsClear() {
		return firstShare
	}
	if now.Sub(r.startedAt) >= part(r.order.duration, loadShareAt) {
		return loadShare
	}
	return firstShare
}

// Write is a state that the store should have.
type Write struct {
	order Order
	state State
}

// Order returns the order.
func (w Write) Order() Order { return w.order }

// State returns the state to write, unless the store has a final one.
func (w Write) State() State { return w.state }

// Writes returns the states that this daemon should write to the store: a watcher all of
// them, another daemon those that it has found itself. A write has to be conditional on
// the store having no final state for the order.
func (c *Controller) Writes() []Write {
	var writes []Write
	for _, s := range slices.Sorted(maps.Keys(c.rollouts)) {
		r := c.rollouts[s]
		if r.deleted || (!r.controller.isWatcher && !r.isOwnRollback && !r.isResumed) || IsFinal(r.stored) {
			continue
		}
		if w := r.wanted(); rankOf(w) > rankOf(r.stored) {
			writes = append(writes, Write{order: r.order, state: w})
		}
	}
	return writes
}

// gateTicks is the number of successive ticks at which all gates have to be closed and
// idle: at one of them the member list may have changed and the reports not yet.
const gateTicks = 2

// wanted returns the state that the store should have.
func (r *rollout) wanted() State {
	switch r.state.(type) {
	case Unknown, Active:
		return Active{}
	case Promoted:
		if r.gatesDone >= gateTicks {
			return Completed{}
		}
		return Active{}
	case Completed, RolledBack:
		return r.state
	}
	return Unknown{}
}

// Status is an order and its state, for operators.
type Status struct {
	order   Order
	state   State
	reason  string
	elapsed time.Duration
	share   float64
	stored  State
	olds    Tally
	news    Tally
}

// Order returns the order.
func (s Status) Order() Order { return s.order }

// State returns the state at this daemon.
func (s Status) State() State { return s.state }

// Reason returns why the state was reached.
func (s Status) Reason() string { return s.reason }

// Elapsed returns the time since the order.
func (s Status) Elapsed() time.Duration { return s.elapsed }

// Share returns the wanted share of the new version.
func (s Status) Share() float64 { return s.share }

// Stored returns the state in the store, as far as this daemon knows.
func (s Status) Stored() State { return s.stored }

// Old returns the answers of the old version that this daemon knows of.
func (s Status) Old() Tally { return s.olds }

// New returns the answers of the new version that this daemon knows of.
func (s Status) New() Tally { return s.news }

// Statuses returns the state of all orders in force, sorted by service.
func (c *Controller) Statuses(now model.Instant) []Status {
	var all []Status
	for _, s := range slices.Sorted(maps.Keys(c.rollouts)) {
		r := c.rollouts[s]
		if r.deleted {
			continue
		}
		counts, _ := r.pooled()
		status := Status{order: r.order, state: r.state, reason: r.reason, elapsed: now.Sub(r.startedAt), stored: r.stored}
		status.olds, status.news = counts.Totals()
		if p, ok := r.plan(now); ok {
			status.share = p.share
		}
		all = append(all, status)
	}
	return all
}
