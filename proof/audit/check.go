package audit

import (
	"fmt"
	"strings"
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

func checkSecret(h *History) string {
	if len(h.leaks) > 0 {
		return "a key leaked to: " + h.leaks[0]
	}
	return ""
}

func checkHit(h *History) string {
	if !h.faultInjected {
		return "no fault was injected: the step did not occur"
	}
	return ""
}
