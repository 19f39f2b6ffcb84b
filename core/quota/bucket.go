package quota

import (
	"time"

	"anvilstand/core/model"
)

// Bucket is a token bucket that spends its tokens itself, as EvenSplit uses it;
// LeaseBucket issues them to others. The zero value is empty and admits nothing.
type Bucket struct {
	rate     float64 // tokens a second
	burst    float64 // tokens
	tokens   float64
	filledAt model.Instant // when tokens were last added
}

// Set changes the rate, in tokens a second, and the burst, in tokens. Tokens
// above the new burst are lost.
func (b *Bucket) Set(now model.Instant, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Spend takes one token, or fails with OverRate and the time until the next
// token.
func (b *Bucket) Spend(now model.Instant) error {
	b.fill(now)
	if b.tokens < 1 {
		return model.Refuse(model.OverRate{}, b.timeToToken())
	}
	b.tokens--
	return nil
}

func (b *Bucket) fill(now model.Instant) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.filledAt = now
	}
}

// MaxWait is the longest wait that a refusal of a Bucket or an EvenSplit carries.
const MaxWait = 10 * time.Second

func (b *Bucket) timeToToken() time.Duration {
	if b.rate <= 0 {
		return MaxWait
	}
	return min(MaxWait, time.Duration((1-b.tokens)/b.rate*float64(time.Second)))
}
