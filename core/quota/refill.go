package quota

import (
	"math"
	"slices"

	"anvilstand/core/model"
)

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
