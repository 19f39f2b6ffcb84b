package retry

import (
	"math/rand/v2"
	"time"

	"anvilstand/core/model"
)

// Left returns the number of retries left.
func (b Budget) Left() int { return b.remaining }

// Size returns the number of retries in the portion.
func (p Portion) Size() int { return p.size }

// Allowed returns why a refused attempt may be retried, and whether it may. A
// request that did not run may be retried; one that may have run, only if it is
// idempotent. A request whose caller went away, or that every target would refuse, is
// not retried at all.
func Allowed(refusal *model.Refusal, idempotent bool) (model.RetryReason, bool) {
	if !retryable(refusal.Reason()) {
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

// retryable reports whether another attempt, at another target or later at the same
// one, may end differently. A shed request is not retryable: all targets of its
// service shed it, and retries would add to the overload.
func retryable(r model.Reason) bool {
	switch r.(type) {
	case model.QueueFull, model.NoTarget, model.Leaving, model.DomainOut, model.Broken, model.Declined:
		return true
	case model.Shed, model.NoKey, model.BadKey, model.NoRoute, model.BadRequest, model.TooLarge, model.OverRate, model.NoToken,
		model.Late, model.Poison, model.Repeat, model.Spent, model.Isolated, model.BadOrg, model.Canceled:
		return false
	}
	return false
}

const (
	// minBackoff and maxBackoff bound the backoff before jitter.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// minAttemptTime is the shortest time that is of use for an attempt.
	minAttemptTime = 5 * time.Millisecond
)

// Backoff returns the exponential backoff with jitter before the targets of a service
// are tried again, when all of them have refused for the nth time, counted from 0. It
// doubles each time up to maxBackoff, is at least the wait that the refusal carries,
// and has up to half its length of jitter added.
func Backoff(rnd *rand.Rand, n int, refusal *model.Refusal) time.Duration {
	// Six doublings exceed maxBackoff; the bound prevents an overflow.
	backoff := min(maxBackoff, minBackoff<<min(n, 6))
	return Jitter(rnd, max(backoff, refusal.Wait()))
}

// Jitter returns a wait lengthened by a random part of up to half of it.
func Jitter(rnd *rand.Rand, wait time.Duration) time.Duration {
	return wait + time.Duration(rnd.Float64()*float64(wait)/2)
}

// CheckDeadline checks that the time left until the deadline is enough for the backoff and
// another attempt. If not, it fails with an *Error of NoTime.
func CheckDeadline(left, backoff time.Duration) error {
	if left < backoff+minAttemptTime {
		return &Error{reason: NoTime{}}
	}
	return nil
}

// RetryAfter returns the wait that a refused caller is told, without jitter: the wait
// that the refusal carries, or else a default for its reason. Zero means that
// retrying the same request is of no use.
func RetryAfter(refusal *model.Refusal) time.Duration {
	if refusal.Wait() > 0 {
		return refusal.Wait()
	}
	switch refusal.Reason().(type) {
	case model.Shed, model.QueueFull, model.Leaving, model.Spent, model.Broken, model.Declined, model.Late, model.OverRate, model.Repeat:
		return shortRetryAfter
	case model.NoTarget, model.DomainOut, model.NoToken, model.Isolated, model.BadOrg:
		return longRetryAfter
	case model.NoKey, model.BadKey, model.NoRoute, model.BadRequest, model.TooLarge, model.Poison, model.Canceled:
		return 0
	}
	return 0
}

// Default waits of RetryAfter.
const (
	shortRetryAfter = 100 * time.Millisecond
	longRetryAfter  = time.Second
)
