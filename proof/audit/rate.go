package audit

import (
	"fmt"
	"sort"
	"time"
)

// checkRate counts, for each window, the requests that were both sent and
// executed inside it: each of them was admitted inside it.
func checkRate(h *History) string {
	first := firstExecutions(h)
	for _, l := range h.plan.limits {
		var admitted []interval
		seen := map[string]bool{}
		for _, req := range h.requests {
			if at, executed := first[req.id]; executed && req.org == l.org && !seen[req.id] {
				seen[req.id] = true
				admitted = append(admitted, interval{from: req.sentAt, until: at})
			}
		}
		if example := checkWindows(l, admitted); example != "" {
			return example
		}
	}
	return ""
}

// interval lasts from the sending of a request to its first execution.
type interval struct{ from, until time.Duration }

// firstExecutions returns when each request was first executed.
func firstExecutions(h *History) map[string]time.Duration {
	first := map[string]time.Duration{}
	for _, exec := range h.executions {
		if at, ok := first[exec.id]; !ok || exec.from < at {
			first[exec.id] = exec.from
		}
	}
	return first
}

// checkWindows checks every window that starts when a request is sent and ends
// when one is executed.
func checkWindows(l limit, admitted []interval) string {
	sort.Slice(admitted, func(i, j int) bool { return admitted[i].until < admitted[j].until })
	for i := range admitted {
		from, n := admitted[i].from, 0
		for j := range admitted {
			if admitted[j].from < from || admitted[j].until < from {
				continue
			}
			n++
			window := admitted[j].until - from
			if allowed := l.burst + l.rate*window.Seconds(); float64(n) > allowed+roundingError {
				return fmt.Sprintf("%s: %d admissions from %v to %v, allowed are %.2f", l.org, n, from, admitted[j].until, allowed)
			}
		}
	}
	return ""
}

// roundingError is an upper bound for the error of the floating-point sums, in
// tokens.
const roundingError = 1e-6
