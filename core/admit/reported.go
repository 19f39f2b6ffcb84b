package admit

import (
	"math"
	"time"

	"anvilstand/core/model"
)

// Bounds for a target that reports its slots, and its start rate during warm-up.
const (
	// usedSlotsPercent is the percentage of the reported slots that the limit
	// uses. The rest stays free, because many targets slow down when they are
	// full.
	usedSlotsPercent = 94
	// warmupBurst is the size of the token bucket, in requests. The bucket begins
	// with one token, also after each change of the rate.
	warmupBurst = 3
	// warmupWindow bounds the running requests of a cold target to those that the
	// warm-up rate allows in this time.
	warmupWindow = 500 * time.Millisecond
	// minStartDelay is the shortest wait for the next start at the warm-up rate.
	minStartDelay = time.Millisecond
)

// warmupBucket is a token bucket that limits the starts per second at a cold
// target to the warm-up rate. The zero value has no limit.
type warmupBucket struct {
	rate    float64 // requests per second; zero for no limit
	tokens  float64 // at the instant updated, one per start
	updated model.Instant
}

// SetSlots sets the number of slots that the target reports, of which the limit is
// usedSlotsPercent. With zero the controller adapts the limit itself.
func (c *Controller) SetSlots(slots int) {
	c.reportedSlots = slots
}

// SetWarmupRate sets the warm-up rate, which limits the starts, in requests per
// second, while the target is cold. Zero removes this limit.
func (c *Controller) SetWarmupRate(now model.Instant, rate float64, out *Outbox) {
	if rate == c.bucket.rate {
		return
	}
	c.bucket = warmupBucket{rate: rate, tokens: 1, updated: now}
	c.Tick(now, out)
}

// NextWarmupStart returns after which wait the caller must call Tick for the next start
// that the warm-up rate allows. It reports false when no queued request waits for
// the rate.
func (c *Controller) NextWarmupStart(now model.Instant) (time.Duration, bool) {
	if c.bucket.rate == 0 || c.queue.size == 0 || len(c.running) >= c.Limit() {
		return 0, false
	}
	wait := time.Duration((1 - c.bucket.available(now)) / c.bucket.rate * float64(time.Second))
	return max(minStartDelay, wait), true
}

// available returns the tokens in the bucket.
func (b *warmupBucket) available(now model.Instant) float64 {
	return min(warmupBurst, b.tokens+b.rate*now.Sub(b.updated).Seconds())
}

// ready reports whether the warm-up rate allows a start now.
func (b *warmupBucket) ready(now model.Instant) bool { return b.rate == 0 || b.available(now) >= 1 }

// take takes the token of a request that starts.
func (b *warmupBucket) take(now model.Instant) {
	if b.rate > 0 {
		b.tokens, b.updated = b.available(now)-1, now
	}
}

// capLimit bounds a concurrency limit by the requests that start in warmupWindow.
func (b *warmupBucket) capLimit(limit int) int {
	if b.rate == 0 {
		return limit
	}
	return max(MinLimit, min(limit, int(math.Ceil(b.rate*warmupWindow.Seconds()))))
}
