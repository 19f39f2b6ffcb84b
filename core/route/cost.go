package route

import (
	"math/rand/v2"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Bounds of the choice by expected completion. It is made where targets report the
// time in which they expect to answer, and addresses targets of different speed and
// failure domains with different demand.
const (
	// SpillLoad is the load, as a fraction of the concurrency limit, from which a target
	// of the own failure domain is compared with those of others. It is below 1 because
	// reports are up to LoadExpiry old, and a queue should not form before the spill.
	SpillLoad = 0.9
	// crossDomainTime is what a hop to another failure domain and back is taken to cost.
	crossDomainTime = 5 * time.Millisecond
	// spillAdvantage is the factor by which another failure domain must be faster. It
	// keeps domains of about the same load from exchanging their requests.
	spillAdvantage = 1.3
	// SpeedExpiry is the age at which a target's own time for a request is no longer used.
	// It differs between machines and changes slowly, unlike the load.
	SpeedExpiry = 10 * time.Second
)

// serviceTime returns the time in which the target expected to answer a request that did
// not wait, as last reported, in seconds. It returns false if that is not known.
func (t *target) serviceTime(now model.Instant) (float64, bool) {
	if t == nil || t.expected == 0 || now.Sub(t.reportTime) > SpeedExpiry {
		return 0, false
	}
	return t.expected.Seconds() / max(1, t.load), true
}

// hasRecentLoad reports whether the last reported load still counts.
func (t *target) hasRecentLoad(now model.Instant) bool {
	return t != nil && t.limit > 0 && now.Sub(t.reportTime) <= LoadExpiry
}

// estimateCosts sets the costs of the candidates. It returns false if no target has told
// what time it needs. A target without a report, or with an old one, counts as one of
// mean speed and load, so that it neither attracts all requests nor gets none.
func (b *Balancer) estimateCosts(now model.Instant) bool {
	var times mean
	var loads [2]mean // in the own failure domain and in the others
	for _, c := range b.candidates {
		if s, ok := c.state.serviceTime(now); ok {
			times.add(s)
		}
		if c.state.hasRecentLoad(now) {
			loads[c.side()].add(c.load)
		}
	}
	if times.n == 0 {
		return false
	}
	for i := range b.candidates {
		c := &b.candidates[i]
		s, ok := c.state.serviceTime(now)
		if !ok {
			s = times.value()
		}
		if !c.state.hasRecentLoad(now) {
			c.load = max(c.load, loads[c.side()].value())
		}
		c.cost = completion(s, c.load)
	}
	return true
}

// side returns 0 for a candidate of the own failure domain and 1 for others: demand
// differs between domains.
func (c *candidate) side() int {
	if c.inDomain {
		return 0
	}
	return 1
}

// completion returns the expected time until an answer, in seconds. Waiting grows faster
// than the load: the square stands for the queueing of requests that arrive together.
func completion(service, load float64) float64 { return service * (1 + load*load) }

// cheapest picks a candidate by expected completion. A request leaves the own failure
// domain only when the target that it would get there is nearly full and another domain
// has one that is faster by more than the way.
func (b *Balancer) cheapest(rnd *rand.Rand) *fleet.Member {
	inDomain := 0
	for inDomain < len(b.candidates) && b.candidates[inDomain].inDomain {
		inDomain++
	}
	own, others := b.candidates[:inDomain], b.candidates[inDomain:]
	if len(own) == 0 {
		return cheaperOfTwo(rnd, others).member
	}
	x := cheaperOfTwo(rnd, own)
	if len(others) == 0 || x.load < SpillLoad {
		return x.member
	}
	y := cheaperOfTwo(rnd, others)
	if (y.cost+crossDomainTime.Seconds())*spillAdvantage < x.cost {
		return y.member
	}
	return x.member
}

// cheaperOfTwo returns the cheaper of two random candidates. Daemons that have the same
// reports thus do not all pick the same target.
func cheaperOfTwo(rnd *rand.Rand, list []candidate) candidate {
	x, y := list[rnd.IntN(len(list))], list[rnd.IntN(len(list))]
	if y.cost < x.cost {
		return y
	}
	return x
}

// mean is an arithmetic mean. The zero value is that of no numbers, which is 0.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(x float64) {
	m.sum += x
	m.n++
}

func (m *mean) value() float64 { return m.sum / float64(max(1, m.n)) }
