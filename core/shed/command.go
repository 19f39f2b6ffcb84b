package shed

import (
	"math"
	"slices"

	"anvilstand/core/model"
)

// Offer asks for the admission of a request at a position. The error is a
// *model.Refusal of a request that did not run.
func (c *Controller) Offer(now model.Instant, k Class, p model.Position) error {
	s := c.classes[k]
	if s == nil {
		return nil
	}
	if now.Sub(s.lastOffer) > idleTimeout {
		c.expire(k, s)
		return nil
	}
	s.recordOffer(now, p)
	if p >= s.level && !s.mayProbe(now) {
		s.refused++
		return model.Refuse(model.Shed{}, RetryAfter)
	}
	s.refused, s.lastAdmitted = 0, now
	return nil
}

// Finish records how the chain of a request that was admitted at a time ended. A class
// without a starved request is not recorded.
func (c *Controller) Finish(now model.Instant, k Class, admitted model.Instant, o Outcome) {
	s := c.classes[k]
	if _, starved := o.(Starved); starved && s == nil {
		s = c.add(now, k, admitted)
	}
	if s == nil {
		return
	}
	if !admitted.Before(s.cut) {
		s.seen.record(now, o)
		s.recordRun(now, o)
	}
	if !admitted.Before(s.changed) {
		s.fresh.record(now, o)
	}
	s.adapt(now)
	if s.fraction == 1 && s.seen.starved < minStarvedKept {
		c.end(k, s.change)
	}
}

// end deletes a class.
func (c *Controller) end(k Class, last Change) {
	c.ended = endedClass{class: k, change: last}
	delete(c.classes, k)
}

// expire deletes a class that gets no offers. From now on everything is admitted.
func (c *Controller) expire(k Class, s *class) {
	c.end(k, Change{before: s.fraction, after: 1, passed: s.seen.passed, starved: s.seen.starved})
}

// minStarvedKept is the count of starved outcomes below which a class that admits everything
// is no longer recorded.
const minStarvedKept = 0.05

// add adds a class that admits everything, and once in idleTimeout deletes those that get no
// offers: the host of a class comes from callers, so that classes would accumulate without
// limit.
func (c *Controller) add(now model.Instant, k Class, admitted model.Instant) *class {
	if c.classes == nil {
		c.classes = map[Class]*class{}
	}
	if now.Sub(c.sweptAt) > idleTimeout {
		c.sweptAt = now
		for other, s := range c.classes {
			if now.Sub(s.lastOffer) > idleTimeout {
				c.expire(other, s)
			}
		}
	}
	s := &class{fraction: 1, level: model.PositionCount, changed: admitted, cut: admitted, lastOffer: now, lastAdmitted: now, lastPassed: now}
	c.classes[k] = s
	return s
}

// recordRun records how long no chain has passed of those admitted since the last
// decrease. When one passes again, the outcomes so far tell nothing about the capacity:
// the fraction rises to returnFraction, and then by the largest steps.
func (s *class) recordRun(now model.Instant, o Outcome) {
	switch o.(type) {
	case Passed:
		if s.blocked(now) {
			s.growthFactor, s.seen = maxGrowthFactor, evidence{passed: 1, at: now}
			s.fresh = s.seen
			if s.fraction < returnFraction {
				s.set(now, returnFraction)
			}
		}
		s.run, s.lastPassed = 0, now
	case Starved:
		s.run++
	}
}

// record adds an outcome to the decayed counts.
func (e *evidence) record(now model.Instant, o Outcome) {
	decay := math.Exp(-now.Sub(e.at).Seconds() / decayTime.Seconds())
	e.passed *= decay
	e.starved *= decay
	e.at = now
	switch o.(type) {
	case Passed:
		e.passed++
	case Starved:
		e.starved++
	}
}

// recordOffer adds a position to the recent ones, and sets the level anew when all of
// them are newer than it.
func (s *class) recordOffer(now model.Instant, p model.Position) {
	s.recent[s.offers%recentOffers] = p
	s.offers++
	s.lastOffer = now
	if s.offers%recentOffers == 0 {
		s.setLevel()
	}
}

// adapt lowers the fraction when the outcomes show that more than is tolerated starve,
// and raises it when they don't. It waits for an outcome at the present fraction before
// the next increase, so that the steps follow the latency of the chain.
func (s *class) adapt(now model.Instant) {
	if now.Sub(s.changed) < minWindow {
		return
	}
	failing, overloaded := s.overload()
	switch {
	case overloaded:
		s.set(now, max(minFraction, s.fraction*max(maxDecrease, headroom*(1-failing))))
		s.growthFactor, s.cut, s.seen = growthAfterDecrease, now, evidence{}
	case s.fraction < 1 && s.fresh.total() > 0 && failing <= tolerated:
		s.set(now, min(1, s.fraction*(1+growth*s.growthFactor)+growthStep*s.growthFactor))
		s.growthFactor = min(maxGrowthFactor, 2*s.growthFactor)
	}
}

// set changes the fraction.
func (s *class) set(now model.Instant, fraction float64) {
	s.change = Change{before: s.fraction, after: fraction, passed: s.seen.passed, starved: s.seen.starved}
	s.fraction, s.changed, s.fresh = fraction, now, evidence{}
	s.setLevel()
}

// setLevel sets the level so that the recent offers below it are the fraction that is
// admitted. At least those of the lowest position are.
func (s *class) setLevel() {
	n := min(s.offers, recentOffers)
	if s.fraction == 1 || n == 0 {
		s.level = model.PositionCount
		return
	}
	sorted := s.recent
	slices.Sort(sorted[:n])
	s.level = max(sorted[int(s.fraction*float64(n))], sorted[0]+1)
}
