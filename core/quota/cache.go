package quota

import (
	"math"
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

// RefillRequest is what the TokenCache wants of the Manager for one organisation:
// tokens, or usage to be reported, or both.
type RefillRequest struct {
	org  model.Org
	want int
	// onDemand asks for an on-demand batch, whose tokens are spent at once.
	onDemand bool
	usage    []holderUsage
}

// holderUsage is the usage of a batch and the holder to report it to.
type holderUsage struct {
	holder Holder
	usage  Usage
}

// Org returns the organisation that the tokens are for.
func (r RefillRequest) Org() model.Org { return r.org }

// Want returns the tokens to ask for, zero for a report only.
func (r RefillRequest) Want() int { return r.want }

// RefillRequests collects the requests of a TokenCache. The zero value is empty.
type RefillRequests struct{ list []RefillRequest }

// List returns the requests in order of organisation.
func (r *RefillRequests) List() []RefillRequest { return r.list }

// Collect adds each organisation's request to out, and notes its usage as
// reported. All usage is reported when all is set or tokens are asked for,
// otherwise only that of batches being closed.
func (c *TokenCache) Collect(now model.Instant, all bool, out *RefillRequests) {
	for _, org := range c.orgs {
		o := c.caches[org]
		o.estimate(now)
		r := RefillRequest{org: org, want: o.missing(now), onDemand: o.onDemand, usage: o.usageReports(now, all || o.missing(now) > 0)}
		o.refilling = r.want > 0
		if r.want > 0 || len(r.usage) > 0 {
			out.list = append(out.list, r)
		}
		if len(o.batches) == 0 && o.targetTokens(now) == 0 {
			o.answered = false
		}
		if !o.answered && now.Sub(o.lastRequest) > slowTimeConstant {
			delete(c.caches, org)
		}
	}
	if len(c.caches) < len(c.orgs) {
		c.orgs = slices.DeleteFunc(c.orgs, func(org model.Org) bool { return c.caches[org] == nil })
	}
}

// estimate updates the moving averages of the demand, at most once per
// TickInterval.
func (o *orgCache) estimate(now model.Instant) {
	dt := now.Sub(o.estimatedAt)
	if dt < TickInterval {
		return
	}
	rate := float64(o.arrivals) / dt.Seconds()
	o.fastRate += (rate - o.fastRate) * (1 - math.Exp(-dt.Seconds()/fastTimeConstant.Seconds()))
	o.slowRate += (rate - o.slowRate) * (1 - math.Exp(-dt.Seconds()/slowTimeConstant.Seconds()))
	o.arrivals, o.estimatedAt = 0, now
}

// targetTokens returns the number of tokens to keep ready: the demand expected
// within three round trips, or within minCoverTime if that is longer, plus two
// standard deviations of a Poisson distribution with that mean.
func (o *orgCache) targetTokens(now model.Instant) int {
	if o.onDemand {
		return 0
	}
	if now.Sub(o.lastRequest) > idleTimeout && o.slowRate < minPrefetchRate {
		return 0
	}
	n := o.demandRate(now) * max(minCoverTime, 3*o.roundTrip).Seconds()
	return max(minCachedTokens, 1+int(math.Ceil(n+2*math.Sqrt(n))))
}

// demandRate returns the recent demand, in requests a second. It corrects a
// young estimate for having started from zero.
func (o *orgCache) demandRate(now model.Instant) float64 {
	age := max(minEstimateAge, now.Sub(o.startedAt))
	return o.fastRate / (1 - math.Exp(-age.Seconds()/fastTimeConstant.Seconds()))
}

// missing returns the tokens to ask for. Unless on demand, it waits until a
// third of the target is missing.
func (o *orgCache) missing(now model.Instant) int {
	if o.onDemand {
		return o.waiting
	}
	target := o.targetTokens(now)
	if available := o.available(now.Add(refreshAhead)); 3*available <= 2*target {
		return target - available
	}
	return 0
}

// available returns the tokens that can still be spent at a time.
func (o *orgCache) available(at model.Instant) int {
	n := 0
	for _, b := range o.batches {
		if at.Before(b.batch.deadline) {
			n += b.remaining()
		}
	}
	return n
}

// usageReports closes and drops batches that are used up, surplus or about to
// expire, and returns the usage since the last report.
func (o *orgCache) usageReports(now model.Instant, all bool) []holderUsage {
	var usages []holderUsage
	kept := o.batches[:0]
	surplus := o.available(now) - o.targetTokens(now)
	for _, b := range o.batches {
		onDemand := b.batch.ttl == OnDemandTTL
		if onDemand && b.remaining() == 0 {
			continue // the holder counts it as spent without a report
		}
		expiring := !now.Add(b.batch.returnMargin()).Before(b.batch.deadline)
		excess := b.remaining() > 0 && surplus >= b.remaining() && !onDemand
		closes := expiring || excess || (b.remaining() == 0 && all)
		if excess {
			surplus -= b.remaining()
		}
		if closes || (all && b.spent > b.reported) {
			usages = append(usages, holderUsage{holder: b.batch.holder, usage: NewUsage(b.batch.id, b.spent, closes)})
			b.reported = b.spent
		}
		if !closes {
			kept = append(kept, b)
		}
	}
	clear(o.batches[len(kept):])
	o.batches = kept
	return usages
}
