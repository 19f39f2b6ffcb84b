package shed

import (
	"math"

	"anvilstand/core/model"
)

// Fraction returns the fraction of a class's offers that is admitted.
func (c *Controller) Fraction(k Class) float64 {
	if s := c.classes[k]; s != nil {
		return s.fraction
	}
	return 1
}

// LastChange returns the last change of a class's fraction: of a class that is recorded, or
// that was the last to be deleted, and otherwise the zero Change.
func (c *Controller) LastChange(k Class) Change {
	if s := c.classes[k]; s != nil {
		return s.change
	}
	if c.ended.class == k {
		return c.ended.change
	}
	return Change{}
}

// Fractions returns the fractions of the classes that have had starved requests and
// still get offers.
func (c *Controller) Fractions(now model.Instant) map[Class]float64 {
	fractions := make(map[Class]float64, len(c.classes))
	for k, s := range c.classes {
		if now.Sub(s.lastOffer) <= idleTimeout {
			fractions[k] = s.fraction
		}
	}
	return fractions
}

// Service returns the service that the requests are for.
func (k Class) Service() model.Service { return k.service }

// Route returns the route's method and path prefix.
func (k Class) Route() string { return k.route }

// Quarters returns the number of quarters that a fraction reaches, 4 for all of the
// offers. A change of it is worth a line in the log.
func Quarters(fraction float64) int { return int(4 * fraction) }

// blocked reports whether no chain passes any more.
func (s *class) blocked(now model.Instant) bool {
	return s.run >= blockedRun && now.Sub(s.lastPassed) >= blockedTime
}

// mayProbe reports whether an offer that the level refuses is admitted nonetheless, to
// learn whether chains pass again.
func (s *class) mayProbe(now model.Instant) bool {
	return s.blocked(now) && s.refused >= probeOffers-1 && now.Sub(s.lastAdmitted) >= probeInterval
}

// overload returns the fraction of outcomes that starve, and whether they show that this
// is more than is tolerated. It judges all outcomes since the last decrease and those
// since the last change apart, as the former include outcomes at lower fractions.
func (s *class) overload() (float64, bool) {
	overloaded := s.seen.showsOverload() || s.fresh.showsOverload()
	return max(s.seen.starvedFraction(), s.fresh.starvedFraction()), overloaded
}

// total returns the count of all outcomes.
func (e evidence) total() float64 { return e.passed + e.starved }

// starvedFraction returns the part of the outcomes that starved.
func (e evidence) starvedFraction() float64 {
	if e.starved == 0 {
		return 0
	}
	return e.starved / e.total()
}

// showsOverload reports whether the counts show that more than the tolerated fraction
// starves.
func (e evidence) showsOverload() bool {
	p := e.starvedFraction()
	if e.starved < minStarved || p <= tolerated {
		return false
	}
	return e.starved*math.Log(p/tolerated)+passedTerm(e.passed, 1-p) >= minEvidence
}

// passedTerm returns the part of the log-likelihood ratio of the outcomes that passed,
// which are a fraction of all.
func passedTerm(passed, fraction float64) float64 {
	if passed == 0 {
		return 0
	}
	return passed * math.Log(fraction/(1-tolerated))
}

// IsOverload reports whether a refusal is one for lack of capacity, so that fewer
// requests would have been served as well.
func IsOverload(r *model.Refusal) bool {
	if _, notRun := r.Run().(model.NotRun); !notRun {
		return false
	}
	switch r.Reason().(type) {
	case model.Shed, model.QueueFull, model.Late:
		return true
	case model.NoKey, model.BadKey, model.NoRoute, model.BadRequest, model.TooLarge, model.OverRate, model.NoToken,
		model.NoTarget, model.Leaving, model.DomainOut, model.Poison, model.Repeat, model.Spent, model.Isolated,
		model.BadOrg, model.Declined, model.Broken, model.Canceled:
	}
	return false
}
