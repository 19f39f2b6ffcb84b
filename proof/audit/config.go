package audit

import (
	"fmt"
	"time"
)

// InForceWithin is the time in which an accepted change must be in force at
// every daemon, once the faults have ended.
const InForceWithin = 5 * time.Second

// EvacuatedWithin is the time after which an evacuated failure domain must get
// no new requests.
const EvacuatedWithin = 3 * time.Second

// acceptedAt returns when a command was accepted, or when the faults ended if
// that was later.
func (h *History) acceptedAt(op string) (time.Duration, bool) {
	for _, cmd := range h.commands {
		if _, ok := cmd.outcome.(Accepted); ok && cmd.op == op {
			return max(cmd.until, h.healedAt), true
		}
	}
	return 0, false
}

func checkKey(h *History) string {
	at, ok := h.acceptedAt(h.plan.withdrawOp)
	if !ok {
		return "cannot check: the withdrawal of the key was never accepted"
	}
	executions := h.executionsByID()
	for _, req := range h.requests {
		if req.key == h.plan.withdrawnKey && req.sentAt > at+InForceWithin && len(executions[req.id]) > 0 {
			return fmt.Sprintf("request %s ran at %v with a key withdrawn by %v", req.id, executions[req.id][0].from, at)
		}
	}
	return ""
}

func checkOut(h *History) string {
	at, ok := h.acceptedAt(h.plan.outOp)
	if !ok {
		return "cannot check: the evacuation of the domain was never accepted"
	}
	returnedAt := h.endedAt
	for _, cmd := range h.commands {
		if cmd.op == h.plan.inOp {
			returnedAt = min(returnedAt, cmd.from)
		}
	}
	sentAt := map[string]time.Duration{}
	for _, req := range h.requests {
		sentAt[req.id] = req.sentAt
	}
	for _, exec := range h.executions {
		if exec.domain == h.plan.domain && sentAt[exec.id] > at+EvacuatedWithin && exec.from < returnedAt {
			return fmt.Sprintf("request %s ran in %s at %v, which was out by %v", exec.id, exec.domain, exec.from, at)
		}
	}
	return ""
}
