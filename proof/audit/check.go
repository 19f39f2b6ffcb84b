package audit

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Promise is an invariant that Check evaluates on a history. The names of its
// members are printed in reports, where invariants are called promises.
//
//sumtype:decl
type Promise interface{ isPromise() }

// Members of Promise.
type (
	// Own means that a complete answer is the answer to the caller's own
	// request.
	Own struct{}
	// Truth means that a refusal that says "not" belongs to a request that was
	// never executed.
	Truth struct{}
	// Once means that a request that is not idempotent is executed at most once.
	Once struct{}
	// Rate means that no organisation gets more than its rate and burst over any
	// window.
	Rate struct{}
	// Line means that accepted revisions of the configuration are linearizable,
	// each is in force at every daemon within InForceWithin, and no daemon goes
	// back to an older one.
	Line struct{}
	// Key means that a withdrawn key is refused after InForceWithin.
	Key struct{}
	// Secret means that no key reaches a target, and none is in what a daemon
	// emits: logs, metrics and answers to queries.
	Secret struct{}
	// Out means that an evacuated failure domain gets no new requests after
	// EvacuatedWithin.
	Out struct{}
	// Calm means that no request loses its connection in a planned stop, or in a
	// fault that breaks no connections.
	Calm struct{}
	// Bound means that a request is executed no more often than the retry budget
	// allows each time that it is sent.
	Bound struct{}
	// Back means that requests within their organisation's rate are served again
	// at the end of the history.
	Back struct{}
	// Hit means that the fault was injected. Without it the other checks prove
	// nothing.
	Hit struct{}
)

func (Own) isPromise()    {}
func (Truth) isPromise()  {}
func (Once) isPromise()   {}
func (Rate) isPromise()   {}
func (Line) isPromise()   {}
func (Key) isPromise()    {}
func (Secret) isPromise() {}
func (Out) isPromise()    {}
func (Calm) isPromise()   {}
func (Bound) isPromise()  {}
func (Back) isPromise()   {}
func (Hit) isPromise()    {}

// Promises returns every invariant.
func Promises() []Promise {
	return []Promise{
		Own{},
		Truth{},
		Once{},
		Rate{},
		Line{},
		Key{},
		Secret{},
		Out{},
		Calm{},
		Bound{},
		Back{},
		Hit{},
	}
}

// Check returns a counter-example to an invariant, or an empty string when the
// history keeps it.
func Check(h *History, p Promise) string {
	switch p.(type) {
	case Own:
		return checkOwn(h)
	case Truth:
		return checkTruth(h)
	case Once:
		return checkOnce(h)
	case Rate:
		return checkRate(h)
	case Line:
		return checkLine(h)
	case Key:
		return checkKey(h)
	case Secret:
		return checkSecret(h)
	case Out:
		return checkOut(h)
	case Calm:
		return checkCalm(h)
	case Bound:
		return checkBound(h)
	case Back:
		return checkBack(h)
	case Hit:
		return checkHit(h)
	}
	return ""
}

// PromiseName returns the name of an invariant, such as Own.
func PromiseName(p Promise) string { return strings.TrimPrefix(fmt.Sprintf("%T", p), "audit.") }

func checkOwn(h *History) string {
	for _, req := range h.requests {
		if end, ok := req.end.(Complete); ok && end.id != req.id {
			return fmt.Sprintf("request %s got the answer to %s", req.id, end.id)
		}
	}
	return ""
}

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

func checkSecret(h *History) string {
	if len(h.leaks) > 0 {
		return "a key leaked to: " + h.leaks[0]
	}
	return ""
}

func checkCalm(h *History) string {
	if !h.calm {
		return ""
	}
	for _, req := range h.requests {
		switch end := req.end.(type) {
		case ConnLost:
			return fmt.Sprintf("request %s (%v to %v) was cut: %s", req.id, req.sentAt, req.endedAt, end.step)
		case Refused:
			if end.run != "not" && end.reason != "repeat" {
				return fmt.Sprintf("request %s at %v: %s, run %s", req.id, req.endedAt, end.reason, end.run)
			}
		case Complete, ConnectFailed:
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

// minServedFraction is the fraction of the requests in the recovery window that
// must get a complete answer.
const minServedFraction = 0.9

// checkBack counts a request as served when it was served any of the times that
// it was sent.
func checkBack(h *History) string {
	servedByID, ends := map[string]bool{}, map[string]int{}
	for _, req := range h.requests {
		if req.sentAt < h.endedAt-h.plan.recoveryWindow || req.org != h.plan.recoveryOrg || req.key == h.plan.withdrawnKey {
			continue
		}
		servedByID[req.id] = servedByID[req.id] || isComplete(req.end)
		ends[endName(req.end)]++
	}
	served := 0
	for _, ok := range servedByID {
		if ok {
			served++
		}
	}
	if float64(served) < minServedFraction*float64(len(servedByID)) || served == 0 {
		return fmt.Sprintf("%d of the last %d requests were served; they ended as %v", served, len(servedByID), ends)
	}
	return ""
}

func isComplete(e End) bool {
	_, ok := e.(Complete)
	return ok
}

func endName(e End) string {
	switch e := e.(type) {
	case Complete:
		return "whole"
	case Refused:
		return e.reason
	case ConnLost:
		return "cut"
	case ConnectFailed:
		return "unreached"
	}
	return "unknown"
}

func checkHit(h *History) string {
	if !h.faultInjected {
		return "no fault was injected: the step did not occur"
	}
	return ""
}
