package share

import "anvilstand/core/model"

// Level returns the tokens in the pot at a time after its last command.
func (b *LeaseBucket) Level() float64 { return b.level }

// Outstanding returns the tokens that may be spent without asking the pot: the
// lumps out, and what a predecessor may have issued.
func (b *LeaseBucket) Outstanding() float64 { return float64(b.outstanding) + b.assumed }

// Batches returns the number of lumps outstanding.
func (b *LeaseBucket) Batches() int { return len(b.issued) }

// Rate returns the tokens a second that the pot gains.
func (b *LeaseBucket) Rate() float64 { return b.rate }

// Cap returns the tokens that the pot and its lumps may hold together.
func (b *LeaseBucket) Cap() float64 { return b.capacity }

// Available returns the tokens of an organisation that can be spent at a time.
func (c *Purse) Available(now model.Instant, org model.Org) int {
	if o := c.caches[org]; o != nil {
		return o.available(now)
	}
	return 0
}

// Deadline returns until when the last token spent was good. A caller that was
// paused after Spend looks again before it goes on.
func (c *Purse) Deadline() model.Instant { return c.lastDeadline }

// IsLow reports whether the organisation's tokens are few, and more is not yet
// asked for.
func (c *Purse) IsLow(now model.Instant, org model.Org) bool {
	o := c.caches[org]
	return o != nil && !o.refilling && o.missing(now) > 0
}

// IsExhausted reports whether every holder was found empty a moment ago.
func (c *Purse) IsExhausted(now model.Instant, org model.Org) bool {
	o := c.caches[org]
	return o != nil && now.Before(o.exhaustedUntil)
}

// isLeaseValid reports whether the own title is in force at a time.
func (mgr *Desk) isLeaseValid(now model.Instant, q *quota) bool {
	return q.held != nil && !q.held.resigned && now.Sub(q.held.confirmedAt) < mgr.leaseTTL
}

// State is what a desk tells of an organisation's share.
type State struct {
	org            model.Org
	domain         model.Domain
	weight         int
	recordedWeight int
	rate           float64
	capacity       float64
	level          float64
	outstanding    float64
	leases         []Title
	known          bool
}

// Org returns the organisation.
func (s State) Org() model.Org { return s.org }

// Domain returns the failure domain of this daemon.
func (s State) Domain() model.Domain { return s.domain }

// Held reports whether this daemon holds a title.
func (s State) Held() bool { return s.recordedWeight > 0 }

// Weight returns the weight in force here, in millionths.
func (s State) Weight() int { return s.weight }

// Rate returns the tokens a second that the title gains.
func (s State) Rate() float64 { return s.rate }

// Cap returns the tokens that the title's pot and lumps may hold.
func (s State) Cap() float64 { return s.capacity }

// Level returns the tokens in the pot.
func (s State) Level() float64 { return s.level }

// Outstanding returns the tokens issued and neither spent nor lapsed.
func (s State) Outstanding() float64 { return s.outstanding }

// Pending reports whether more is outstanding than the share allows, or a
// lower weight is not yet in the record. It ends within Life of a change,
// unless the store is away.
func (s State) Pending() bool { return s.outstanding > s.capacity || s.weight < s.recordedWeight }

// Titles returns the titles known.
func (s State) Titles() []Title { return s.leases }

// Known reports whether the record is known.
func (s State) Known() bool { return s.known }

// State returns what is known of an organisation's share at a time.
func (mgr *Desk) State(now model.Instant, org model.Org) State {
	s := State{org: org, domain: mgr.domain}
	q := mgr.quotas[org]
	if q == nil {
		return s
	}
	s.known, s.leases = q.known, q.record.Titles()
	if !mgr.isLeaseValid(now, q) {
		return s
	}
	lease, _ := q.record.Title(mgr.domain)
	b := &q.held.bucket
	s.weight, s.recordedWeight = q.held.weight, lease.weight
	s.rate, s.capacity, s.level, s.outstanding = b.rate, b.capacity, b.level, b.Outstanding()
	return s
}

// Orgs returns the organisations configured, in order.
func (mgr *Desk) Orgs() []model.Org { return mgr.orgs }

// Titles returns the number of titles held.
func (mgr *Desk) Titles() int {
	n := 0
	for _, q := range mgr.quotas {
		if q.held != nil {
			n++
		}
	}
	return n
}

// Scarce reports whether an organisation's burst is too small for every daemon
// to keep tokens ready: those of the own failure domain would hold more than
// half of its part.
func (mgr *Desk) Scarce(org model.Org) bool {
	q := mgr.quotas[org]
	if q == nil || len(mgr.domains) == 0 {
		return false
	}
	return 2*minCachedTokens*len(mgr.members)*len(mgr.domains) > int(q.burst)
}
