package audit

import "fmt"

// checkTruth checks only requests that reached a daemon once: when one is sent
// twice, an execution may belong to the other time.
func checkTruth(h *History) string {
	executions := h.executionsByID()
	sends := map[string]int{}
	for _, req := range h.requests {
		if _, unreached := req.end.(ConnectFailed); !unreached {
			sends[req.id]++
		}
	}
	for _, req := range h.requests {
		end, ok := req.end.(Refused)
		if ok && end.run == "not" && sends[req.id] == 1 && len(executions[req.id]) > 0 {
			return fmt.Sprintf("request %s was refused as not run (%s) at %v and ran at %v", req.id, end.reason, req.endedAt, executions[req.id][0].from)
		}
	}
	return ""
}

func checkBound(h *History) string {
	sends := map[string]int{}
	for _, req := range h.requests {
		sends[req.id]++
	}
	for id, executions := range h.executionsByID() {
		if n := sends[id]; n > 0 && len(executions) > n*h.plan.attempts {
			return fmt.Sprintf("request %s ran %d times for %d sendings", id, len(executions), n)
		}
	}
	return ""
}
