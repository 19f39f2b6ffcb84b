// Package retry decides whether and when a failed attempt is retried.
//
// A retry has to be allowed by the reason of the refusal (Allowed), by the deadline
// (CheckDeadline), by the Budget of the request, which is divided along the call
// chain, and by the Throttle, a token bucket that limits retries to a fraction of the
// requests. Backoff is exponential with jitter. The package sends nothing and chooses
// no target.
package retry

import "anvilstand/core/model"

// Budget is the number of retries that a request may still cause, at this daemon and
// in the calls that targets make on its behalf. It never grows beyond its first size:
// methods only divide it or return what was taken out. The zero value allows no retry.
// It is not safe for concurrent use.
type Budget struct{ remaining int }

// NewBudget returns a budget of n retries, or of none when n is negative. It is
// for the root of a call chain, or for the budget that came with a call.
func NewBudget(n int) Budget { return Budget{remaining: max(0, n)} }

// Portion is the retries that were taken out of a budget for one attempt or one
// downstream call. The zero value is empty.
type Portion struct{ size int }

// Throttle throttles retries to a fraction of the requests, with a token bucket for
// each organisation and each service: a request that is not a retry adds TokenRatio
// tokens to both of its buckets, a retry takes one token from both. In the zero
// value each bucket begins with initialTokens. It is not safe for concurrent use.
type Throttle struct {
	orgs     map[model.Org]float64
	services map[model.Service]float64
}

// Token buckets of organisations and services.
const (
	// TokenRatio is the number of tokens, each for one retry, that a request adds.
	TokenRatio = 0.1
	// MaxTokens is the size of a bucket, in tokens.
	MaxTokens = 10
	// initialTokens is the tokens of a new bucket. It allows the first retry of an
	// organisation or service before 1/TokenRatio requests were counted.
	initialTokens = 1
)

// DenyReason is why a retry is denied although the reason of the refusal allows one.
//
//sumtype:decl
type DenyReason interface{ isDenyReason() }

// Members of DenyReason.
type (
	// NoBudget means that the request may have no further attempt: its retry
	// budget, the attempts of its route, or the attempts that cost no target any
	// work are used up.
	NoBudget struct{}
	// Throttled means that the organisation or the service has made too many
	// retries for its requests.
	Throttled struct{}
	// NoTime means that the deadline leaves no time for another attempt.
	NoTime struct{}
	// BodyConsumed means that a part of the request's body was read from the
	// caller and is not buffered, so that it cannot be sent again.
	BodyConsumed struct{}
)

func (NoBudget) isDenyReason()     {}
func (Throttled) isDenyReason()    {}
func (NoTime) isDenyReason()       {}
func (BodyConsumed) isDenyReason() {}

// DenyReasonName returns the name of a reason in metrics and traces, or "none" for nil.
func DenyReasonName(reason DenyReason) string {
	switch reason.(type) {
	case NoBudget:
		return "budget"
	case Throttled:
		return "ratio"
	case NoTime:
		return "deadline"
	case BodyConsumed:
		return "body"
	}
	return "none"
}

// Error is the error of a denied retry.
type Error struct{ reason DenyReason }

// DenyReason returns why the retry is denied.
func (e *Error) DenyReason() DenyReason { return e.reason }

// Error returns "no retry: " and the name of its reason.
func (e *Error) Error() string { return "no retry: " + DenyReasonName(e.reason) }

// NewError returns the error of a retry that is denied for the given reason.
func NewError(reason DenyReason) *Error { return &Error{reason: reason} }
