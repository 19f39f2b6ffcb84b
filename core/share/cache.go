package share

import (
	"math"
	"slices"
	"time"

	"anvilstand/core/model"
)

// Times and bounds of a purse.
const (
	// idleTimeout is how long a purse stays warm without a request when requests are
	// rarer than warmRate.
	idleTimeout = 2 * time.Second
	// minPrefetchRate is the mean demand, in requests a second, above which a purse
	// keeps a token ready.
	minPrefetchRate = 0.2
	// refreshAhead is how long before its deadline a lump counts no more as held, so
	// that another is asked for in time and the rest can go back.
	refreshAhead = 400 * time.Millisecond
	// minCachedTokens is the fewest tokens that a warm purse keeps ready.
	minCachedTokens = 2
	// coveredDemand is the demand that a purse keeps tokens for.
	coveredDemand = 75 * time.Millisecond
	// fastTimeConstant and slow are the time constants of the demand estimates.
	fastTimeConstant = time.Second
	slowTimeConstant = 10 * time.Second
	// minEstimateAge is the least age that an estimate is corrected for.
	minEstimateAge = 250 * time.Millisecond
)

// Purse holds the tokens of a daemon, by organisation. The zero value is
// empty. It is not safe for concurrent use.
type Purse struct {
	caches       map[model.Org]*orgCache
	orgs         []model.Org // of the pouches, in order
	onDemand     map[model.Org]bool
	lastDeadline model.Instant // deadline of the last token spent
}

// orgCache holds the tokens of one organisation, the earliest deadline first.
type orgCache struct {
	batches        []cachedBatch
	arrivals       int
	fastRate       float64 // requests a second
	slowRate       float64 // requests a second
	estimatedAt    model.Instant
	startedAt      model.Instant // when the estimates began
	lastRequest    model.Instant // when a request last came
	warm           bool
	refilling      bool          // more is asked for already
	roundTrip      time.Duration // mean time that a lump takes to come
	exhaustedUntil model.Instant // until then the holders are known to be empty
	onDemand       bool          // tokens are asked for only when requests wait
	waiting        int           // requests that found no token since the last lump came
}

type cachedBatch struct {
	batch    Lump
	spent    int
	reported int
}

// returnMargin is how long before its deadline the rest of a lump goes back.
func (b Lump) returnMargin() time.Duration {
	if b.ttl == Brief {
		return Brief / 2
	}
	return refreshAhead / 2
}

func (b cachedBatch) remaining() int { return b.batch.tokens - b.spent }

// SetScarce says whether an organisation's burst is too small for every daemon
// to keep tokens ready. A request then waits until one is asked for.
func (c *Purse) SetScarce(org model.Org, onDemand bool) {
	if c.onDemand == nil {
		c.onDemand = map[model.Org]bool{}
	}
	c.onDemand[org] = onDemand
	if o := c.caches[org]; o != nil && o.onDemand != onDemand {
		o.onDemand, o.warm, o.refilling, o.waiting = onDemand, false, false, 0
	}
}

// Spend takes one token. It fails with NoShare when the daemon holds nothing
// for the organisation yet, and with OverRate when it has run out.
func (c *Purse) Spend(now model.Instant, org model.Org) error {
	o := c.cacheOf(now, org)
	o.arrivals++
	o.lastRequest = now
	return c.take(now, o)
}

// cacheOf returns an organisation's cacheOf and makes it when there is none.
func (c *Purse) cacheOf(now model.Instant, org model.Org) *orgCache {
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

// Again takes one token for a request that Spend failed for before.
func (c *Purse) Again(now model.Instant, org model.Org) error {
	if o := c.caches[org]; o != nil {
		return c.take(now, o)
	}
	return model.Refuse(model.NoShare{}, Life)
}

func (c *Purse) take(now model.Instant, o *orgCache) error {
	for i := range o.batches {
		b := &o.batches[i]
		if b.remaining() > 0 && now.Before(b.batch.deadline) {
			b.spent++
			c.lastDeadline = b.batch.deadline
			return nil
		}
	}
	if !o.warm && !now.Before(o.exhaustedUntil) {
		o.waiting++
		return model.Refuse(model.NoShare{}, Life)
	}
	return model.Refuse(model.OverRate{}, max(Tick, o.exhaustedUntil.Sub(now)))
}

// Put adds a lump.
func (c *Purse) Put(now model.Instant, org model.Org, b Lump) {
	o := c.cacheOf(now, org)
	o.warm, o.refilling, o.exhaustedUntil, o.waiting = !o.onDemand, false, 0, 0
	if roundTrip := now.Sub(b.deadline) + b.ttl; roundTrip > 0 {
		o.roundTrip += (roundTrip - o.roundTrip) / 8
	}
	o.batches = append(o.batches, cachedBatch{batch: b})
	slices.SortStableFunc(o.batches, func(x, y cachedBatch) int { return int(x.batch.deadline - y.batch.deadline) })
}

// Dry notes that every holder was empty. Requests that find the purse empty
// need not wait until then.
func (c *Purse) Dry(org model.Org, until model.Instant) {
	if o := c.caches[org]; o != nil {
		o.warm, o.refilling, o.exhaustedUntil, o.waiting = !o.onDemand, false, until, 0
	}
}

// Need is what a purse asks for, for one organisation, and what it reports.
type Need struct {
	org  model.Org
	want int
	// onDemand asks for tokens that are spent at once.
	onDemand bool
	usage    []holderUsage
}

type holderUsage struct {
	holder Holder
	usage  Use
}

// Org returns the organisation.
func (r Need) Org() model.Org { return r.org }

// Want returns the tokens asked for.
func (r Need) Want() int { return r.want }

// Needs collects what a purse asks for and reports. The zero value is empty.
type Needs struct{ list []Need }

// List returns the needs in no order.
func (r *Needs) List() []Need { return r.list }

// Collect adds what each organisation needs, and marks it as reported.
// Everything is reported when all is set, otherwise only what closes.
func (c *Purse) Collect(now model.Instant, all bool, out *Needs) {
	for _, org := range c.orgs {
		o := c.caches[org]
		o.estimate(now)
		r := Need{org: org, want: o.missing(now), onDemand: o.onDemand, usage: o.usageReports(now, all || o.missing(now) > 0)}
		o.refilling = r.want > 0
		if r.want > 0 || len(r.usage) > 0 {
			out.list = append(out.list, r)
		}
		if len(o.batches) == 0 && o.targetTokens(now) == 0 {
			o.warm = false
		}
		if !o.warm && now.Sub(o.lastRequest) > slowTimeConstant {
			delete(c.caches, org)
		}
	}
	if len(c.caches) < len(c.orgs) {
		c.orgs = slices.DeleteFunc(c.orgs, func(org model.Org) bool { return c.caches[org] == nil })
	}
}

// estimate follows the demand.
func (o *orgCache) estimate(now model.Instant) {
	dt := now.Sub(o.estimatedAt)
	if dt < Tick {
		return
	}
	rate := float64(o.arrivals) / dt.Seconds()
	o.fastRate += (rate - o.fastRate) * (1 - math.Exp(-dt.Seconds()/fastTimeConstant.Seconds()))
	o.slowRate += (rate - o.slowRate) * (1 - math.Exp(-dt.Seconds()/slowTimeConstant.Seconds()))
	o.arrivals, o.estimatedAt = 0, now
}

// targetTokens returns the tokens that the purse should hold.
func (o *orgCache) targetTokens(now model.Instant) int {
	if o.onDemand {
		return 0
	}
	if now.Sub(o.lastRequest) > idleTimeout && o.slowRate < minPrefetchRate {
		return 0
	}
	n := o.demandRate(now) * max(coveredDemand, 3*o.roundTrip).Seconds()
	return max(minCachedTokens, 1+int(math.Ceil(n+2*math.Sqrt(n))))
}

// demandRate returns the requests a second of late. A young estimate is corrected
// for starting from zero.
func (o *orgCache) demandRate(now model.Instant) float64 {
	age := max(minEstimateAge, now.Sub(o.startedAt))
	return o.fastRate / (1 - math.Exp(-age.Seconds()/fastTimeConstant.Seconds()))
}

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

// usageReports drops lumps that are used up or about to lapse, and returns what was
// spent since the last usageReports.
func (o *orgCache) usageReports(now model.Instant, all bool) []holderUsage {
	var usages []holderUsage
	kept := o.batches[:0]
	surplus := o.available(now) - o.targetTokens(now)
	for _, b := range o.batches {
		onDemand := b.batch.ttl == Brief
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
			usages = append(usages, holderUsage{holder: b.batch.holder, usage: NewUse(b.batch.id, b.spent, closes)})
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
