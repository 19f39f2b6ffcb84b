package quota

import (
	"slices"
	"time"

	"anvilstand/core/model"
)

// Times and bounds of a TokenCache.
const (
	// idleTimeout is how long tokens are kept ready without a request, if
	// requests are rarer than minPrefetchRate.
	idleTimeout = 2 * time.Second
	// minPrefetchRate is the mean demand, in requests a second, from which
	// tokens are always kept ready.
	minPrefetchRate = 0.2
	// refreshAhead is how long before its deadline a batch no longer counts as
	// available, so that its replacement comes in time. Its tokens may still be
	// spent until it is closed, half of this time before its deadline, so that
	// the unspent tokens can be returned.
	refreshAhead = 400 * time.Millisecond
	// minCachedTokens is the fewest tokens to keep ready.
	minCachedTokens = 2
	// minCoverTime is the least time whose expected demand is kept ready as
	// tokens.
	minCoverTime = 75 * time.Millisecond
	// fastTimeConstant and slowTimeConstant are the time constants of the
	// exponentially weighted moving averages (EWMA) of the demand. The fast one
	// determines how many tokens are kept ready, the slow one whether any are
	// kept without recent requests.
	fastTimeConstant = time.Second
	slowTimeConstant = 10 * time.Second
	// minEstimateAge is the least age that the correction of a young estimate
	// assumes.
	minEstimateAge = 250 * time.Millisecond
)

// TokenCache contains the tokens that a daemon has at hand, by organisation.
// The zero value is empty. It is not safe for concurrent use.
type TokenCache struct {
	caches       map[model.Org]*orgCache
	orgs         []model.Org // those in caches, sorted
	onDemand     map[model.Org]bool
	lastDeadline model.Instant // of the batch that the last token was spent from
}

// orgCache contains the tokens of one organisation and the estimates of its
// demand.
type orgCache struct {
	batches        []cachedBatch // the earliest deadline first
	arrivals       int           // requests since estimatedAt
	fastRate       float64       // requests a second, averaged over fastTimeConstant
	slowRate       float64       // requests a second, averaged over slowTimeConstant
	estimatedAt    model.Instant
	startedAt      model.Instant // when the estimates began
	lastRequest    model.Instant // when the last request arrived
	answered       bool          // a holder has answered, and tokens are kept ready; never set on demand
	refilling      bool          // tokens have been asked for
	roundTrip      time.Duration // moving average of the time from ask to batch
	exhaustedUntil model.Instant // until then no holder has a token
	onDemand       bool          // tokens are asked for only when requests wait
	waiting        int           // requests that found no token since the last batch or empty round
}

// cachedBatch is a batch and the tokens that were spent of it.
type cachedBatch struct {
	batch    Batch
	spent    int // tokens
	reported int // tokens reported as spent
}

// returnMargin is how long before its deadline a batch is closed and its
// unspent tokens are returned: 200 ms, or 75 ms if on demand.
func (b Batch) returnMargin() time.Duration {
	if b.ttl == OnDemandTTL {
		return OnDemandTTL / 2
	}
	return refreshAhead / 2
}

func (b cachedBatch) remaining() int { return b.batch.tokens - b.spent }

// SetOnDemand sets whether an organisation's tokens are asked for on demand,
// because its burst is too small for every daemon to keep some ready. A request
// then waits until its token has come.
func (c *TokenCache) SetOnDemand(org model.Org, onDemand bool) {
	if c.onDemand == nil {
		c.onDemand = map[model.Org]bool{}
	}
	c.onDemand[org] = onDemand
	if o := c.caches[org]; o != nil && o.onDemand != onDemand {
		o.onDemand, o.answered, o.refilling, o.waiting = onDemand, false, false, 0
	}
}

// Spend takes one token. It fails with NoToken while a holder's answer is still
// to come, so that the request may wait for it, and with OverRate when the
// tokens have run out.
func (c *TokenCache) Spend(now model.Instant, org model.Org) error {
	o := c.cacheOf(now, org)
	o.arrivals++
	o.lastRequest = now
	return c.take(now, o)
}

// cacheOf returns an organisation's cache, and creates it if there is none.
func (c *TokenCache) cacheOf(now model.Instant, org model.Org) *orgCache {
	if o := c.caches[org]; o != nil {
		return o
	}
	if c.caches == nil {
		c.caches = map[model.Org]*orgCache{}
	}
	o := &orgCache{estimatedAt: now, startedAt: now, lastRequest: now, onDemand: c.onDemand[org]}
	c.caches[org] = o
	i, _ := slices.BinarySearch(c.orgs, org)
	c.orgs = slices.Insert(c.orgs, i, org)
	return o
}

// SpendAgain takes one token for a request that Spend failed for. It doesn't count
// as another arrival in the demand.
func (c *TokenCache) SpendAgain(now model.Instant, org model.Org) error {
	if o := c.caches[org]; o != nil {
		return c.take(now, o)
	}
	return model.Refuse(model.NoToken{}, BatchTTL)
}

// take spends a token of the batch with the earliest deadline. A refusal with
// OverRate carries the wait until the holders are asked again, which is at least
// TickInterval.
func (c *TokenCache) take(now model.Instant, o *orgCache) error {
	for i := range o.batches {
		b := &o.batches[i]
		if b.remaining() > 0 && now.Before(b.batch.deadline) {
			b.spent++
			c.lastDeadline = b.batch.deadline
			return nil
		}
	}
	if !o.answered && !now.Before(o.exhaustedUntil) {
		o.waiting++
		return model.Refuse(model.NoToken{}, BatchTTL)
	}
	return model.Refuse(model.OverRate{}, max(TickInterval, o.exhaustedUntil.Sub(now)))
}

// Put adds a batch and updates the mean round trip, an exponentially weighted
// moving average with weight 1/8. The ask was sent b.ttl before the deadline.
func (c *TokenCache) Put(now model.Instant, org model.Org, b Batch) {
	o := c.cacheOf(now, org)
	o.answered, o.refilling, o.exhaustedUntil, o.waiting = !o.onDemand, false, 0, 0
	if roundTrip := now.Sub(b.deadline) + b.ttl; roundTrip > 0 {
		o.roundTrip += (roundTrip - o.roundTrip) / 8
	}
	o.batches = append(o.batches, cachedBatch{batch: b})
	slices.SortStableFunc(o.batches, func(x, y cachedBatch) int { return int(x.batch.deadline - y.batch.deadline) })
}

// MarkExhausted records that no holder had a token. Until the given time,
// requests that find no token are refused at once instead of waiting.
func (c *TokenCache) MarkExhausted(org model.Org, until model.Instant) {
	if o := c.caches[org]; o != nil {
		o.answered, o.refilling, o.exhaustedUntil, o.waiting = !o.onDemand, false, until, 0
	}
}
