// Package shed decides, where requests enter the fleet, which of them to refuse
// because calls deeper in their chains would be refused under overload. Without it,
// every service of a chain above the overloaded one works on requests that fail.
//
// It learns from how chains end: per class of requests, it admits a fraction of the
// offers, those of the lowest positions, and adapts the fraction until few chains
// fail. A position is the same at every hop of a chain, so the calls that an
// overloaded service refuses are mostly of requests that were about to be refused
// here. The load that it answers is more work for a deep service than that can do,
// seen from daemons that do not call it themselves and know no capacity.
package shed

import (
	"time"

	"anvilstand/core/model"
)

// Class identifies requests whose chains are alike: those of one route.
type Class struct {
	service model.Service
	host    string
	route   string
}

// NewClass returns the class of the requests to a service on the route with a host,
// which may be empty, and a method and path prefix.
func NewClass(s model.Service, host, route string) Class {
	return Class{service: s, host: host, route: route}
}

// Outcome is how the chain of an admitted request ended.
//
//sumtype:decl
type Outcome interface{ isOutcome() }

// Members of Outcome.
type (
	// Passed is a response that no refused call spoilt.
	Passed struct{}
	// Starved is a failure after a call of the chain was refused under overload.
	Starved struct{}
)

func (Passed) isOutcome()  {}
func (Starved) isOutcome() {}

// Controller holds the state of the classes that have had starved requests. The zero
// value admits everything. It is not safe for concurrent use.
type Controller struct {
	classes map[Class]*class
	ended   endedClass    // the class that was last deleted
	sweptAt model.Instant // when classes without offers were last deleted
}

// endedClass is a class that is no longer recorded, and the last change of its fraction.
type endedClass struct {
	class  Class
	change Change
}

// class is the state of one class.
type class struct {
	fraction     float64                      // of the offers that is admitted
	level        model.Position               // offers at or above it are refused
	changed      model.Instant                // when the fraction last changed
	cut          model.Instant                // when it was last lowered
	seen         evidence                     // outcomes of requests admitted since then
	fresh        evidence                     // outcomes of requests admitted since the last change
	growthFactor float64                      // of the next increase
	recent       [recentOffers]model.Position // a ring
	offers       int
	lastOffer    model.Instant
	lastAdmitted model.Instant
	refused      int // offers refused since then
	run          int // outcomes since the last that passed
	lastPassed   model.Instant
	change       Change
}

// evidence counts outcomes, with exponential decay so that the counts follow the
// load. The zero value has none.
type evidence struct {
	passed, starved float64
	at              model.Instant
}

// Change is a change of a fraction, and the decayed counts of outcomes that decided it.
type Change struct{ before, after, passed, starved float64 }

// Before returns the fraction before the change.
func (c Change) Before() float64 { return c.before }

// After returns the fraction after the change.
func (c Change) After() float64 { return c.after }

// Passed returns the decayed count of chains that passed.
func (c Change) Passed() float64 { return c.passed }

// Starved returns the decayed count of chains that starved.
func (c Change) Starved() float64 { return c.starved }

const (
	// recentOffers is the number of offers whose positions set the level.
	recentOffers = 64
	// minWindow is the time for which the fraction always stays.
	minWindow = 200 * time.Millisecond
	// decayTime is the time constant of the decay of the counts, which is the mean age of
	// what they count: callers wait one or two seconds, so that the counts tell how the
	// chains of those ended who are waiting now.
	decayTime = 1500 * time.Millisecond
	// tolerated is the fraction of starved outcomes at which the fraction still grows.
	tolerated = 0.05
	// minStarved is the least count of starved outcomes that lowers the fraction: a
	// single one may be by chance, whatever the counts. It is below 2, since the first
	// of two has decayed a little when the second comes.
	minStarved = 1.5
	// minEvidence is the least log-likelihood ratio of the counts, between their own
	// fraction of starved outcomes and the tolerated one, that lowers the fraction. By
	// Chernoff's bound, counts of a fraction that is tolerated reach it with a
	// probability of at most exp(-3), a twentieth.
	minEvidence = 3
	// maxDecrease bounds the factor of one decrease.
	maxDecrease = 0.5
	// headroom is the part of what passed that is admitted after a decrease, so that
	// the queues that have formed meanwhile empty.
	headroom = 0.9
	// growth is the part of the fraction that one increase adds to it, and growthStep
	// what it adds besides. Both are multiplied by the growth factor.
	growth     = 0.2
	growthStep = 0.02
	// growthAfterDecrease is the growth factor just after a decrease, so that the fraction
	// stays near what the chains have room for. It doubles with each increase, up to
	// maxGrowthFactor, from where it goes on when chains pass again after none did.
	growthAfterDecrease = 1.0 / 16
	maxGrowthFactor     = 8
	// blockedRun and blockedTime are the number of outcomes in a row that starve, of
	// requests admitted since the last decrease, and the time without one that passes,
	// after which no chain passes any more. Two starved requests lower the fraction by up
	// to a half, so that both together are rare while a part of the chains passes. Requests
	// admitted before the decrease don't count: most of them starve after a sudden one.
	blockedRun  = 4
	blockedTime = 500 * time.Millisecond
	// returnFraction is admitted as soon as a chain passes after none did. Callers return
	// within two seconds of an outage, when daemons with few requests may have seen a
	// single chain pass. If these are a quarter of the daemons, and the others admit
	// everything, nine of ten requests are admitted.
	returnFraction = 0.6
	// minFraction is always admitted, to learn when chains pass again.
	minFraction = 0.05
	// probeInterval is the time after which a request is admitted in any case when no
	// chain passes, so that a daemon that gets few requests of a class learns soon when
	// that has changed, provided that at least probeOffers were offered in it.
	probeInterval = 500 * time.Millisecond
	probeOffers   = 4
	// idleTimeout is the time without an offer after which a class is deleted.
	idleTimeout = 10 * time.Second
	// RetryAfter is the wait that the caller of a refused request is told.
	RetryAfter = 500 * time.Millisecond
)
