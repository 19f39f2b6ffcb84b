package model

// Retry is why an attempt was repeated at another target.
//
//sumtype:decl
type Retry interface{ isRetry() }

// Members of Retry.
type (
	// RetryRefused repeats a request that a target's daemon refused and did
	// not run.
	RetryRefused struct{}
	// RetryUnsent repeats a request whose connection failed before a byte of
	// it was sent.
	RetryUnsent struct{}
	// RetryIdempotent repeats an idempotent request whose fate is unknown.
	RetryIdempotent struct{}
)

func (RetryRefused) isRetry()    {}
func (RetryUnsent) isRetry()     {}
func (RetryIdempotent) isRetry() {}

// Retries returns every member of Retry.
func Retries() []Retry {
	return []Retry{RetryRefused{}, RetryUnsent{}, RetryIdempotent{}}
}

// RetryName returns the name that counters give a retry.
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
