// Package retry decides whether a failed attempt is retried: by the reason of the
// refusal, by a retry budget that is divided along the call chain, and by the
// ratio of retries to requests.
package retry

import "anvilstand/core/model"

// Budget is the number of retries that a request may still cause, here and in the
// calls below. It never grows beyond its first size: methods only divide it or
// return what was taken out. The zero value allows no retry. It is not safe for
// concurrent use.
type Budget struct{ remaining int }

// NewBudget returns a budget of n retries, or of none when n is negative. It is
// for the root of a call chain, or for the budget that came with a call.
func NewBudget(n int) Budget { return Budget{remaining: max(0, n)} }

// Portion holds the retries that were taken out of a budget for one attempt or one
// call below. The zero value is empty.
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
	// TokenRatio is the number of tokens, and so of retries, that a request
	// adds.
	TokenRatio = 0.1
	// MaxTokens is the size of a bucket.
	MaxTokens = 10
	// initialTokens allows the first retry of an organisation or service before
	// ten requests were seen.
	initialTokens = 1
)

// DenyReason is why a retry is denied although the reason of the refusal allows one.
//
//sumtype:decl
type DenyReason interface{ isDenied() }

// Reasons to deny a retry.
type (
	// NoBudget means that the request's retry budget is used up.
	NoBudget struct{}
	// Throttled means that the organisation or the service has made too many
	// retries for its requests.
	Throttled struct{}
	// NoTime means that the deadline leaves no time for another attempt.
	NoTime struct{}
	// BodyConsumed means that the request's body was streamed to the target and is
	// not buffered.
	BodyConsumed struct{}
)

func (NoBudget) isDenied()     {}
func (Throttled) isDenied()    {}
func (NoTime) isDenied()       {}
func (BodyConsumed) isDenied() {}

// DenyReasons returns all reasons to deny a retry.
func DenyReasons() []DenyReason {
	return []DenyReason{NoBudget{}, Throttled{}, NoTime{}, BodyConsumed{}}
}

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
type Error struct{ why DenyReason }

// Reason returns why the retry is denied.
func (e *Error) Reason() DenyReason { return e.why }

// Error returns "no retry: " and the name of its reason.
func (e *Error) Error() string { return "no retry: " + DenyReasonName(e.why) }

// NewError returns the error of a retry that is denied for a given reason.
func NewError(why DenyReason) *Error { return &Error{why: why} }
