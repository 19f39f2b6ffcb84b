package trace

import (
	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// StepName returns the name of a step in logs. Describe uses other words in answers
// to operators.
func StepName(s Step) string {
	switch s.(type) {
	case Accepted:
		return "accept"
	case Picked:
		return "pick"
	case Admitted:
		return "admit"
	case Refused:
		return "refuse"
	case Retried:
		return "retry"
	case RetryDenied:
		return "noretry"
	case Answered:
		return "answer"
	case Replayed:
		return "replay"
	case Truncated:
		return "cut"
	}
	return ""
}

// Fields returns the details of a step as alternating names and values for a
// log line. Durations are in milliseconds.
func Fields(s Step) []any {
	switch s := s.(type) {
	case Accepted:
		return []any{"org", s.org, "service", s.service, "rank", s.rank}
	case Picked:
		return []any{"target", s.target}
	case Admitted:
		return []any{"waited", s.waited.Milliseconds()}
	case Refused:
		return []any{"reason", model.ReasonName(s.refusal.Reason()), "run", model.RunName(s.refusal.Run()), "wait", s.refusal.Wait().Milliseconds()}
	case Retried:
		return []any{"why", model.RetryReasonName(s.reason), "pause", s.backoff.Milliseconds()}
	case RetryDenied:
		return []any{"why", retry.DenyReasonName(s.reason)}
	case Answered:
		return []any{"status", s.status}
	case Replayed, Truncated:
	}
	return nil
}

// ShowsFailure reports whether a step shows a failed attempt or request, including
// an attempt whose retry succeeded. Requests with such a step count as failed in the
// log.
func ShowsFailure(s Step) bool {
	switch s := s.(type) {
	case Refused, RetryDenied, Truncated:
		return true
	case Answered:
		return s.status >= minLoggedFailureStatus
	case Accepted, Picked, Admitted, Retried, Replayed:
	}
	return false
}

// minLoggedFailureStatus is the lowest HTTP status of a response that counts as
// failed in the log, which also keeps client errors. Package story looks for a cause
// only from 500 on.
const minLoggedFailureStatus = 400
