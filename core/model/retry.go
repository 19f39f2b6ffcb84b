package model

// Retry is why a request was sent to another target after a failed attempt.
//
//sumtype:decl
type Retry interface{ isRetry() }

// Members of Retry.
type (
	// RetryRefused is the retry of a request that a target's daemon refused
	// without running it.
	RetryRefused struct{}
	// RetryUnsent is the retry of a request whose connection failed before a
	// byte of it was sent.
	RetryUnsent struct{}
	// RetryIdempotent is the retry of a request on an idempotent route that
	// may have run.
	RetryIdempotent struct{}
)

func (RetryRefused) isRetry()    {}
func (RetryUnsent) isRetry()     {}
func (RetryIdempotent) isRetry() {}

// Retries returns every member of Retry, in the order of declaration.
func Retries() []Retry {
	return []Retry{RetryRefused{}, RetryUnsent{}, RetryIdempotent{}}
}

// RetryName returns the name of a retry in traces and metrics, and "none" for
// nil.
func RetryName(r Retry) string {
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
