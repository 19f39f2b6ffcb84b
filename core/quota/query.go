package quota

import "anvilstand/core/model"

// Level returns the tokens in the bucket as of the last command.
func (b *LeaseBucket) Level() float64 { return b.level }

// Outstanding returns the tokens that may still be spent without another grant:
// those of outstanding batches, and those that a predecessor may have issued.
func (b *LeaseBucket) Outstanding() float64 { return float64(b.outstanding) + b.assumed }

// Batches returns the number of outstanding batches.
func (b *LeaseBucket) Batches() int { return len(b.issued) }

// Rate returns the tokens a second that the bucket gains.
func (b *LeaseBucket) Rate() float64 { return b.rate }

// Capacity returns the limit, in tokens, of level and outstanding tokens together.
func (b *LeaseBucket) Capacity() float64 { return b.capacity }

// Available returns the tokens of an organisation that can be spent at a time.
func (c *TokenCache) Available(now model.Instant, org model.Org) int {
	if o := c.caches[org]; o != nil {
		return o.available(now)
	}
	return 0
}

// LastDeadline returns the deadline of the batch that the last token was spent
// from. A caller that was paused after Spend compares it with the clock before
// it goes on.
func (c *TokenCache) LastDeadline() model.Instant { return c.lastDeadline }

// NeedsRefill reports whether the organisation's tokens run low and no refill
// is under way.
func (c *TokenCache) NeedsRefill(now model.Instant, org model.Org) bool {
	o := c.caches[org]
	return o != nil && !o.refilling && o.missing(now) > 0
}

// IsExhausted reports whether no holder had a token in the last round of asks
// and the next round is not due yet.
func (c *TokenCache) IsExhausted(now model.Instant, org model.Org) bool {
	o := c.caches[org]
	return o != nil && now.Before(o.exhaustedUntil)
}

// isLeaseValid reports whether this daemon holds the domain's lease, which is
// neither resigned nor expired, and renewed.
func (mgr *Manager) isLeaseValid(now model.Instant, q *orgQuota) bool {
	return q.held != nil && !q.held.resigned && now.Sub(q.held.confirmedAt) < mgr.leaseTTL && mgr.isRenewed(now, q)
}

// IsRebuilding reports whether leases may still be missing in the records, because the
// store was restored shortly before.
func (mgr *Manager) IsRebuilding(now model.Instant) bool { return now.Before(mgr.rebuildUntil) }

// State is an organisation's quota as this daemon sees it at a time.
type State struct {
	org            model.Org
	domain         model.Domain
	weight         int // in force here, in millionths
	recordedWeight int // of the lease in the record
	rate           float64
	capacity       float64
	level          float64
	outstanding    float64
	leases         []Lease
	known          bool
	lapsed         bool
	origin         Origin // nil without a lease
	predecessor    Holder
}

// Org returns the organisation.
func (s State) Org() model.Org { return s.org }

// Domain returns the failure domain of this daemon.
func (s State) Domain() model.Domain { return s.domain }

// Held reports whether this daemon holds a valid lease. Daemons write no lease
// without weight to the record.
func (s State) Held() bool { return s.recordedWeight > 0 }

// Lapsed reports whether this daemon has a lease that neither the store nor the contenders
// renew at present, so that it grants no tokens.
func (s State) Lapsed() bool { return s.lapsed }

// Origin returns how this daemon came to hold the lease, or nil without one.
func (s State) Origin() Origin { return s.origin }

// Predecessor returns the holder from which the lease was taken over. It is the zero Holder
// if there was none, or it resigned.
func (s State) Predecessor() Holder { return s.predecessor }

// Weight returns the weight in force here, in millionths, or zero without a
// lease.
func (s State) Weight() int { return s.weight }

// Rate returns the tokens a second that the lease's bucket gains.
func (s State) Rate() float64 { return s.rate }

// Capacity returns the limit, in tokens, of level and outstanding tokens together.
func (s State) Capacity() float64 { return s.capacity }

// Level returns the tokens in the lease's bucket.
func (s State) Level() float64 { return s.level }

// Outstanding returns the tokens issued, by this holder or possibly by its
// predecessor, that are neither reported as spent, nor returned, nor expired.
func (s State) Outstanding() float64 { return s.outstanding }

// Pending reports whether a reduction of the quota is still being applied: more
// tokens are outstanding than it allows, or the lower weight is not in the
// record yet. It ends within BatchTTL of a change while the store is reachable.
func (s State) Pending() bool { return s.outstanding > s.capacity || s.weight < s.recordedWeight }

// Leases returns the leases of the newest record known.
func (s State) Leases() []Lease { return s.leases }

// Known reports whether the record is known.
func (s State) Known() bool { return s.known }

// State returns an organisation's state at a time. Without a valid lease only
// the record is filled in.
func (mgr *Manager) State(now model.Instant, org model.Org) State {
	s := State{org: org, domain: mgr.domain}
	q := mgr.quotas[org]
	if q == nil {
		return s
	}
	s.known, s.leases = q.known, q.record.Leases()
	if q.held != nil && !q.held.resigned {
		s.lapsed = !mgr.isRenewed(now, q)
		s.origin, s.predecessor = q.held.origin, q.held.predecessor
	}
	if !mgr.isLeaseValid(now, q) {
		return s
	}
	lease, _ := q.record.Lease(mgr.domain)
	b := &q.held.bucket
	s.weight, s.recordedWeight = q.held.weight, lease.weight
	s.rate, s.capacity, s.level, s.outstanding = b.rate, b.capacity, b.level, b.Outstanding()
	return s
}

// Orgs returns the configured organisations that have a limit, in order.
func (mgr *Manager) Orgs() []model.Org { return mgr.orgs }

// LeaseCount returns the number of leases whose bucket this daemon has. Leases
// that have expired or are being resigned, which grant no tokens, are counted
// too.
func (mgr *Manager) LeaseCount() int {
	n := 0
	for _, q := range mgr.quotas {
		if q.held != nil {
			n++
		}
	}
	return n
}

// OnDemand reports whether an organisation's burst is too small for every
// daemon to keep tokens ready: the daemons of this failure domain would keep
// more than half of the domain's part.
func (mgr *Manager) OnDemand(org model.Org) bool {
	q := mgr.quotas[org]
	if q == nil || len(mgr.domains) == 0 {
		return false
	}
	return 2*minCachedTokens*len(mgr.members)*len(mgr.domains) > int(q.burst)
}
