package trace

import (
	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// Name returns the name that logs give a step.
func Name(s Step) string {
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
	case Denied:
		return "noretry"
	case Answered:
		return "answer"
	case Replayed:
		return "replay"
	case Cut:
		return "cut"
	}
	return ""
}

// Fields returns what decided a step, as pairs of a name and a value for a log
// line.
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
		return []any{"why", model.RetryName(s.why), "pause", s.pause.Milliseconds()}
	case Denied:
		return []any{"why", retry.DeniedName(s.why)}
	case Answered:
		return []any{"status", s.status}
	case Replayed, Cut:
	}
	return nil
}

// Bad reports whether a step is one of a request that ends badly, as far as a
// daemon can tell.
func Bad(s Step) bool {
	switch s := s.(type) {
	case Refused, Denied, Cut:
		return true
	case Answered:
		return s.status >= leastFailure
	case Accepted, Picked, Admitted, Retried, Replayed:
	}
	return false
}

// leastFailure is the least HTTP status of a failed answer.
const leastFailure = 400
