package admit

import (
	"math"
	"time"

	"anvilstand/core/model"
)

// Bounds for a target that reports its slots and its start rate while cold.
const (
	// usedSlotsPercent is the percentage of the reported slots that is used. Many
	// targets slow down when their last slots are taken.
	usedSlotsPercent = 94
	// warmupBurst is the number of requests that a cold target gets at once.
	warmupBurst = 3
	// warmupWindow bounds the running requests of a cold target to those that its
	// start rate allows in this time.
	warmupWindow = 500 * time.Millisecond
	// minStartDelay is the shortest wait for the next start at a limited rate.
	minStartDelay = time.Millisecond
)

// startBucket is a token bucket that limits the starts per second at a cold
// target. The zero value has no limit.
type startBucket struct {
	rate    float64 // requests per second; zero for no limit
	tokens  float64
	updated model.Instant
}

// SetSlots sets the number of slots that the target reports, from which the limit
// follows. With zero the controller adapts the limit itself.
func (c *Controller) SetSlots(slots int) {
	c.reportedSlots = slots
}

// SetWarmupRate limits the starts, in requests per second, while the target is cold. Zero
// removes this limit.
func (c *Controller) SetWarmupRate(now model.Instant, rate float64, out *Outbox) {
	if rate == c.bucket.rate {
		return
	}
	c.bucket = startBucket{rate: rate, tokens: 1, updated: now}
	c.Tick(now, out)
}

// NextStart returns after which wait the caller must call Tick for the next start that
// the rate allows. It reports false when no queued request waits for the rate.
func (c *Controller) NextStart(now model.Instant) (time.Duration, bool) {
	if c.bucket.rate == 0 || c.queue.size == 0 || len(c.running) >= c.Limit() {
		return 0, false
	}
	wait := time.Duration((1 - c.bucket.available(now)) / c.bucket.rate * float64(time.Second))
	return max(minStartDelay, wait), true
}

// available returns the tokens in the bucket, one per start.
func (b *startBucket) available(now model.Instant) float64 {
	return min(warmupBurst, b.tokens+b.rate*now.Sub(b.updated).Seconds())
}

// ready reports whether the rate allows a start now.
func (b *startBucket) ready(now model.Instant) bool { return b.rate == 0 || b.available(now) >= 1 }

// take takes the token of a request that starts.
func (b *startBucket) take(now model.Instant) {
	if b.rate > 0 {
		b.tokens, b.updated = b.available(now)-1, now
	}
}

// capLimit bounds a concurrency limit by the requests that start in warmupWindow.
func (b *startBucket) capLimit(limit int) int {
	if b.rate == 0 {
		return limit
	}
	return max(MinLimit, min(limit, int(math.Ceil(b.rate*warmupWindow.Seconds()))))
}
