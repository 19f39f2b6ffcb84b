package model

// RetryReason is why a request is sent again after a failed attempt, to another
// target or to the same one.
//
//sumtype:decl
type RetryReason interface{ isRetry() }

// Members of RetryReason.
type (
	// RetryRefused is the retry of a request that a target, or the daemon beside
	// it, refused without running it.
	RetryRefused struct{}
	// RetryUnsent is the retry of a request that got to no target, mostly because
	// the connection failed before a byte of it was sent.
	RetryUnsent struct{}
	// RetryIdempotent is the retry of a request that may have run, on an
	// idempotent route or with an idempotency key.
	RetryIdempotent struct{}
)

func (RetryRefused) isRetry()    {}
func (RetryUnsent) isRetry()     {}
func (RetryIdempotent) isRetry() {}

// RetryReasons returns every member of RetryReason, in the order of declaration.
func RetryReasons() []RetryReason {
	return []RetryReason{RetryRefused{}, RetryUnsent{}, RetryIdempotent{}}
}

// RetryReasonName returns the name of the reason of a retry in traces and metrics, and
// "none" for nil.
func RetryReasonName(r RetryReason) string {
	switch r.(type) {
	case RetryRefused:
		return "refused"
	case RetryUnsent:
		return "unsent"
	case RetryIdempotent:
		return "idempotent"
	}
	return "none"
}
