package retry

import (
	"math/rand/v2"
	"time"

	"anvilstand/core/model"
)

// Left returns the retries left.
func (b Budget) Left() int { return b.left }

// Size returns the retries in the part.
func (p Part) Size() int { return p.size }

// Reason returns why a refused attempt may be repeated, if it may: a request
// that did not run always, one that may have run only when running it twice
// does no harm. A caller that went away, and a request that no target would
// take, are not tried again.
func Reason(refusal *model.Refusal, idempotent bool) (model.Retry, bool) {
	if !repeatable(refusal.Reason()) {
		return nil, false
	}
	switch refusal.Run().(type) {
	case model.NotRun:
		if _, unreached := refusal.Reason().(model.NoTarget); unreached {
			return model.RetryUnsent{}, true
		}
		return model.RetryRefused{}, true
	case model.MayHaveRun:
		return model.RetryIdempotent{}, idempotent
	}
	return nil, false
}

// repeatable reports whether another target, or the same one later, may give
// another answer. Shedding holds for the service.
func repeatable(r model.Reason) bool {
	switch r.(type) {
	case model.QueueFull, model.NoTarget, model.Leaving, model.DomainOut, model.Broken, model.Declined:
		return true
	case model.Shed, model.NoKey, model.BadKey, model.NoRoute, model.BadRequest, model.TooLarge, model.OverRate, model.NoShare,
		model.Late, model.Poison, model.Repeat, model.Spent, model.Isolated, model.Canceled:
		return false
	}
	return false
}

// Bounds of the waits.
const (
	firstPause = 10 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	minAttempt = 5 * time.Millisecond
)

// Pause returns how long to wait before the targets of a service are tried
// again when all of them refused for the nth time, counted from 0. It doubles
// each time, is no shorter than the refusal's own wait, and has jitter of half
// its length.
func Pause(rnd *rand.Rand, n int, refusal *model.Refusal) time.Duration {
	pause := min(maxPause, firstPause<<min(n, 6))
	return Jitter(rnd, max(pause, refusal.Wait()))
}

// Jitter lengthens a wait by a random part, up to half of it.
func Jitter(rnd *rand.Rand, wait time.Duration) time.Duration {
	return wait + time.Duration(rnd.Float64()*float64(wait)/2)
}

// Fits checks that a deadline leaves time for a pause and another attempt. It
// fails with NoTime.
func Fits(left, pause time.Duration) error {
	if left < pause+minAttempt {
		return &Error{why: NoTime{}}
	}
	return nil
}

// Wait returns the wait, without jitter, that a refusal carries to a caller:
// its own, or that of its reason when it has none. Zero means that sending the
// same request again is of no use.
func Wait(refusal *model.Refusal) time.Duration {
	if refusal.Wait() > 0 {
		return refusal.Wait()
	}
	switch refusal.Reason().(type) {
	case model.Shed, model.QueueFull, model.Leaving, model.Spent, model.Broken, model.Declined, model.Late, model.OverRate, model.Repeat:
		return shortWait
	case model.NoTarget, model.DomainOut, model.NoShare, model.Isolated:
		return longWait
	case model.NoKey, model.BadKey, model.NoRoute, model.BadRequest, model.TooLarge, model.Poison, model.Canceled:
		return 0
	}
	return 0
}

// Waits that a caller is given.
const (
	shortWait = 100 * time.Millisecond
	longWait  = time.Second
)
