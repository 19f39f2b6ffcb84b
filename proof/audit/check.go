package audit

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Promise is what must hold in every cell.
//
//sumtype:decl
type Promise interface{ isPromise() }

// Members of Promise.
type (
	// Own is: a caller gets the whole answer to its own request.
	Own struct{}
	// Truth is: a refusal that says "not" belongs to a request that never ran.
	Truth struct{}
	// Once is: a non-idempotent request runs at most once.
	Once struct{}
	// Rate is: no organisation gets more than its rate and burst over any
	// window.
	Rate struct{}
	// Line is: an accepted configuration is one line of revisions, is in force
	// everywhere within seconds, and never goes back.
	Line struct{}
	// Key is: a withdrawn key stops working within seconds.
	Key struct{}
	// Secret is: no target sees a key, and nothing that a daemon emits holds
	// one.
	Secret struct{}
	// Out is: a failure domain taken out gets no new work after seconds.
	Out struct{}
	// Calm is: a planned stop, and a fault that leaves connections alone, cut
	// no request.
	Calm struct{}
	// Bound is: retries are bounded.
	Bound struct{}
	// Back is: service is back some seconds after the fault.
	Back struct{}
	// Hit is: the fault was placed.
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

// Promises returns every promise.
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

// Check returns a counter-example to a promise, or nothing.
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

// Name returns the name of a promise.
func Name(p Promise) string { return strings.TrimPrefix(fmt.Sprintf("%T", p), "audit.") }

func checkOwn(h *History) string {
	for _, s := range h.sent {
		if w, ok := s.end.(Whole); ok && w.id != s.id {
			return fmt.Sprintf("request %s got the answer to %s", s.id, w.id)
		}
	}
	return ""
}

// checkTruth looks at requests all of whose sendings were refused as not run.
func checkTruth(h *History) string {
	runs := h.runs()
	sendings := map[string]int{}
	for _, s := range h.sent {
		if _, unreached := s.end.(Unreached); !unreached {
			sendings[s.id]++
		}
	}
	for _, s := range h.sent {
		r, ok := s.end.(Refused)
		if ok && r.run == "not" && sendings[s.id] == 1 && len(runs[s.id]) > 0 {
			return fmt.Sprintf("request %s was refused as not run (%s) at %v and ran at %v", s.id, r.reason, s.until, runs[s.id][0].from)
		}
	}
	return ""
}

// checkRate counts, for each window, the requests that were both sent and run
// inside it: each of them was admitted inside it.
func checkRate(h *History) string {
	first := firstRuns(h)
	for _, t := range h.plan.limits {
		var list []span
		seen := map[string]bool{}
		for _, s := range h.sent {
			if at, ran := first[s.id]; ran && s.org == t.org && !seen[s.id] {
				seen[s.id] = true
				list = append(list, span{from: s.from, until: at})
			}
		}
		if broken := checkWindows(t, list); broken != "" {
			return broken
		}
	}
	return ""
}

type span struct{ from, until time.Duration }

func firstRuns(h *History) map[string]time.Duration {
	first := map[string]time.Duration{}
	for _, r := range h.ran {
		if at, ok := first[r.id]; !ok || r.from < at {
			first[r.id] = r.from
		}
	}
	return first
}

func checkWindows(t limit, list []span) string {
	sort.Slice(list, func(i, j int) bool { return list[i].until < list[j].until })
	for i := range list {
		from, n := list[i].from, 0
		for j := range list {
			if list[j].from < from || list[j].until < from {
				continue
			}
			n++
			lasts := list[j].until - from
			if allowed := t.burst + t.rate*lasts.Seconds(); float64(n) > allowed+rounding {
				return fmt.Sprintf("%s: %d admissions from %v to %v, allowed are %.2f", t.org, n, from, list[j].until, allowed)
			}
		}
	}
	return ""
}

// rounding is the error of sums of floating-point numbers.
const rounding = 1e-6

// Within is the time in which a change is in force, once all can reach each
// other.
const Within = 5 * time.Second

// Away is the time after which a failure domain taken out gets no new work.
const Away = 3 * time.Second

// accepted returns when the change of an operation was accepted, and everyone
// could be reached again.
func (h *History) accepted(op string) (time.Duration, bool) {
	for _, t := range h.told {
		if _, ok := t.said.(Accepted); ok && t.op == op {
			return max(t.until, h.healed), true
		}
	}
	return 0, false
}

func checkKey(h *History) string {
	at, ok := h.accepted(h.plan.withdraw)
	if !ok {
		return "the withdrawal was never accepted"
	}
	runs := h.runs()
	for _, s := range h.sent {
		if s.key == h.plan.key && s.from > at+Within && len(runs[s.id]) > 0 {
			return fmt.Sprintf("request %s ran at %v with a key withdrawn by %v", s.id, runs[s.id][0].from, at)
		}
	}
	return ""
}

func checkOut(h *History) string {
	at, ok := h.accepted(h.plan.out)
	if !ok {
		return "taking the domain out was never accepted"
	}
	back := h.ended
	for _, t := range h.told {
		if t.op == h.plan.in {
			back = min(back, t.from)
		}
	}
	sent := map[string]time.Duration{}
	for _, s := range h.sent {
		sent[s.id] = s.from
	}
	for _, r := range h.ran {
		if r.domain == h.plan.domain && sent[r.id] > at+Away && r.from < back {
			return fmt.Sprintf("request %s ran in %s at %v, which was out by %v", r.id, r.domain, r.from, at)
		}
	}
	return ""
}

func checkSecret(h *History) string {
	if len(h.leaked) > 0 {
		return "a key was seen: " + h.leaked[0]
	}
	return ""
}

func checkCalm(h *History) string {
	if !h.calm {
		return ""
	}
	for _, s := range h.sent {
		switch end := s.end.(type) {
		case Cut:
			return fmt.Sprintf("request %s (%v to %v) was cut: %s", s.id, s.from, s.until, end.step)
		case Refused:
			if end.run != "not" && end.reason != "repeat" {
				return fmt.Sprintf("request %s at %v: %s, run %s", s.id, s.until, end.reason, end.run)
			}
		case Whole, Unreached:
		}
	}
	return ""
}

func checkBound(h *History) string {
	sendings := map[string]int{}
	for _, s := range h.sent {
		sendings[s.id]++
	}
	for id, runs := range h.runs() {
		if n := sendings[id]; n > 0 && len(runs) > n*h.plan.attempts {
			return fmt.Sprintf("request %s ran %d times for %d sendings", id, len(runs), n)
		}
	}
	return ""
}

// served is the least part of the last seconds' requests inside their rate
// that must be answered.
const served = 0.9

// checkBack counts a request as served when any of its sendings was.
func checkBack(h *History) string {
	last, why := map[string]bool{}, map[string]int{}
	for _, s := range h.sent {
		if s.from < h.ended-h.plan.finale || s.org != h.plan.main || s.key == h.plan.key {
			continue
		}
		last[s.id] = last[s.id] || isWhole(s.end)
		why[endName(s.end)]++
	}
	whole := 0
	for _, ok := range last {
		if ok {
			whole++
		}
	}
	if float64(whole) < served*float64(len(last)) || whole == 0 {
		return fmt.Sprintf("%d of the last %d requests were served; they ended as %v", whole, len(last), why)
	}
	return ""
}

func isWhole(e End) bool {
	_, ok := e.(Whole)
	return ok
}

func endName(e End) string {
	switch e := e.(type) {
	case Whole:
		return "whole"
	case Refused:
		return e.reason
	case Cut:
		return "cut"
	case Unreached:
		return "unreached"
	}
	return "unknown"
}

func checkHit(h *History) string {
	if !h.hit {
		return "the step never happened"
	}
	return ""
}
