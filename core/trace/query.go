package trace

import (
	"fmt"
	"time"

	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// Lines returns the steps of a request that are still kept, the oldest first,
// each with the time since the first of them.
func (r *Ring) Lines(id model.Request) []string {
	var lines []string
	var first model.Instant
	for i := range r.entries {
		e := r.entries[(r.next+i)%len(r.entries)]
		if e.id != id {
			continue
		}
		if lines == nil {
			first = e.at
		}
		lines = append(lines, fmt.Sprintf("+%s %s", e.at.Sub(first).Round(time.Microsecond), Describe(e.step)))
	}
	return lines
}

// Describe returns a step as text for operators. The words differ from StepName:
// admit is "admission", refuse "refusal", noretry "no retry", cut "answer: broke off"
// and replay "answer: the first one again".
func Describe(s Step) string {
	switch s := s.(type) {
	case Accepted:
		return fmt.Sprintf("accept: org %q, service %s, rank %d", s.org, s.service, s.rank)
	case Picked:
		return "pick: " + string(s.target)
	case Admitted:
		return fmt.Sprintf("admission: waited %s", s.waited)
	case Refused:
		return "refusal: " + model.ReasonName(s.refusal.Reason()) + ", run " + model.RunName(s.refusal.Run())
	case Retried:
		return fmt.Sprintf("retry: %s, after %s", model.RetryReasonName(s.reason), s.backoff)
	case RetryDenied:
		return "no retry: " + retry.DenyReasonName(s.reason)
	case Answered:
		return fmt.Sprintf("answer: status %d", s.status)
	case Replayed:
		return "answer: the first one again"
	case Truncated:
		return "answer: broke off"
	}
	return ""
}
