package trial

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"anvilstand/core/model"
	"anvilstand/proof/audit"
)

// Report is what a trial measured. Times are since the start of the history.
type Report struct {
	profile       Profile
	faults        []Fault
	history       *audit.History
	probes        *probes
	start         time.Duration
	duration      time.Duration
	faultFrom     time.Duration
	faultUntil    time.Duration
	outFrom       time.Duration
	outUntil      time.Duration
	reads         uint64
	writes        uint64
	linkBytes     int64
	coreFraction  float64
	residentBytes float64
	crashes       int64
}

// outcome is a request within its organisation's rate, and how it ended.
type outcome struct {
	org     model.Org
	sentAt  time.Duration
	served  bool
	refused bool
}

// inRate returns the requests that one token bucket for the whole fleet would
// have admitted, with how they ended. A request that was resent counts once. An
// organisation over its rate must get its rate, but not exactly the requests
// that the one bucket would have chosen: a refused request counts as served when
// another of the same organisation was served in its place in the same second.
func (r *Report) inRate() []outcome {
	sent := slices.Clone(r.history.Requests())
	slices.SortFunc(sent, func(a, b audit.Request) int { return int(a.SentAt() - b.SentAt()) })
	served := map[string]bool{}
	for _, s := range sent {
		if _, ok := s.End().(audit.Complete); ok {
			served[s.ID()] = true
		}
	}
	var list []outcome
	seen, servedOverRate := map[string]bool{}, map[bin]int{}
	buckets := r.fleetBuckets()
	for _, s := range sent {
		if seen[s.ID()] || s.Key() == withdrawnKeyOf(r.profile) {
			continue
		}
		seen[s.ID()] = true
		if buckets[s.Org()].take(s.SentAt()) {
			_, refused := s.End().(audit.Refused)
			list = append(list, outcome{org: s.Org(), sentAt: s.SentAt(), served: served[s.ID()], refused: refused && !served[s.ID()]})
		} else if served[s.ID()] {
			servedOverRate[binOf(s.Org(), s.SentAt())]++
		}
	}
	for i, o := range list {
		if k := binOf(o.org, o.sentAt); o.refused && servedOverRate[k] > 0 {
			servedOverRate[k]--
			list[i].served, list[i].refused = true, false
		}
	}
	return list
}

// bin is one second of one organisation.
type bin struct {
	org    model.Org
	second int
}

func binOf(org model.Org, at time.Duration) bin { return bin{org: org, second: int(at / time.Second)} }

// bucket is one token bucket for the whole fleet, which no network delays.
type bucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

// fleetBuckets returns a bucket for each organisation.
func (r *Report) fleetBuckets() map[model.Org]*bucket {
	all := map[model.Org]*bucket{}
	for _, org := range r.profile.orgs {
		all[org.name] = &bucket{rate: org.rate, burst: org.burst}
	}
	return all
}

// take takes a token at a time, if there is one.
func (b *bucket) take(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.refilledAt).Seconds())
	b.refilledAt = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fraction returns the fraction of the requests that count, or one when there
// are none.
func fraction(list []outcome, count func(outcome) bool) float64 {
	n := 0
	for _, o := range list {
		if count(o) {
			n++
		}
	}
	if len(list) == 0 {
		return 1
	}
	return float64(n) / float64(len(list))
}

func isServed(o outcome) bool { return o.served }

// sentBetween returns the requests that were sent within a time.
func sentBetween(list []outcome, from, until time.Duration) []outcome {
	var sent []outcome
	for _, o := range list {
		if o.sentAt >= from && o.sentAt < until {
			sent = append(sent, o)
		}
	}
	return sent
}

// goodput returns the number of complete answers as a fraction of the requests
// within the rates, or of the targets' capacity when that is less.
func (r *Report) goodput(list []outcome) float64 {
	executable := r.profile.capacity() * r.duration.Seconds()
	return fraction(list, isServed) * max(1, float64(len(list))/executable)
}

// worstOrg returns the organisation with the smallest fraction of its requests
// served.
func (r *Report) worstOrg(list []outcome) (float64, model.Org) {
	worst, org := 1.0, model.Org("")
	for _, t := range r.profile.orgs {
		var own []outcome
		for _, o := range list {
			if o.org == t.name {
				own = append(own, o)
			}
		}
		if served := fraction(own, isServed); served < worst || org == "" {
			worst, org = served, t.name
		}
	}
	return worst, org
}

// Recovery is reached when recoveredFraction of the goodput before the faults is
// back for recoveryIntervals in a row.
const (
	recoveryInterval  = 200 * time.Millisecond
	recoveryIntervals = 3
	recoveredFraction = 0.95
)

// recovery returns the time from the end of the faults until recovery. When that
// is not reached before the failure domain is taken out, it is the whole time
// until then.
func (r *Report) recovery(list []outcome) time.Duration {
	want := recoveredFraction * fraction(sentBetween(list, r.start, r.faultFrom), isServed)
	for at := r.faultUntil; at+recoveryIntervals*recoveryInterval <= r.outFrom; at += recoveryInterval {
		ok := true
		for i := range time.Duration(recoveryIntervals) {
			ok = ok && fraction(sentBetween(list, at+i*recoveryInterval, at+(i+1)*recoveryInterval), isServed) >= want
		}
		if ok {
			return at - r.faultUntil
		}
	}
	return r.outFrom - r.faultUntil
}

// result is the name of an invariant and its counter-example, which is empty when
// the invariant held.
type result struct {
	name    string
	example string
}

// promises checks the invariants that apply to the trial.
func (r *Report) promises() []result {
	checked := []audit.Promise{audit.Own{}, audit.Truth{}, audit.Once{}, audit.Rate{}, audit.Secret{}, audit.Out{}, audit.Bound{}}
	if slices.Contains(r.faults, Fault(KeyWithdrawn{})) {
		checked = append(checked, audit.Key{})
	}
	var all []result
	for _, p := range checked {
		all = append(all, result{name: strings.ToLower(audit.PromiseName(p)), example: audit.Check(r.history, p)})
	}
	if slices.Contains(r.faults, Fault(Poison{})) {
		all = append(all, r.poisonResult())
	}
	return all
}

// maxCrashes is how often one request may crash a target.
const maxCrashes = 2

func (r *Report) poisonResult() result {
	v := result{name: "poison"}
	if r.crashes > maxCrashes {
		v.example = fmt.Sprintf("one request crashed targets %d times", r.crashes)
	}
	return v
}

// HasViolation reports whether an invariant was violated.
func (r *Report) HasViolation() bool {
	return slices.ContainsFunc(r.promises(), func(v result) bool { return v.example != "" })
}

// Text returns the measurements and the results of the checks as a table.
func (r *Report) Text() string {
	list := r.inRate()
	worst, org := r.worstOrg(list)
	var text strings.Builder
	row := func(name, format string, args ...any) {
		fmt.Fprintf(&text, "%-9s "+format+"\n", append([]any{name}, args...)...)
	}
	row("goodput", "%.4f of what was asked inside the rates", r.goodput(list))
	row("recovery", "%.1f s after the end of %s", r.recovery(list).Seconds(), r.faultNames())
	row("worst", "%.4f (%s)", worst, org)
	row("inrate", "%.4f refused although inside the rate", fraction(list, func(o outcome) bool { return o.refused }))
	row("domain", "%.4f while out, %.4f on return", fraction(r.whileOut(list), isServed), fraction(r.onReturn(list), isServed))
	row("added", "%.3f ms p50, %.3f ms p99", r.probes.added(p50), r.probes.added(p99))
	row("control", "%.4f of a core, %.0f bytes/s, %.0f bytes resident, a daemon", r.coreFraction, r.perDaemon(), r.residentBytes)
	row("store", "%.1f reads/s, %.1f writes/s", r.perSecond(r.reads), r.perSecond(r.writes))
	for _, v := range r.promises() {
		if v.example == "" {
			row("held", "%s", v.name)
			continue
		}
		row("BROKEN", "%s: %s", v.name, v.example)
	}
	return text.String()
}

func (r *Report) whileOut(list []outcome) []outcome { return sentBetween(list, r.outFrom, r.outUntil) }

func (r *Report) onReturn(list []outcome) []outcome {
	return sentBetween(list, r.outUntil, r.start+r.duration)
}

func (r *Report) faultNames() string {
	var names []string
	for _, f := range r.faults {
		names = append(names, FaultName(f))
	}
	return strings.Join(names, "+")
}

func (r *Report) perSecond(n uint64) float64 { return float64(n) / r.duration.Seconds() }

func (r *Report) perDaemon() float64 {
	return float64(r.linkBytes) / r.duration.Seconds() / float64(r.profile.targetCount())
}

// MarshalJSON returns the measurements and the results of the checks as one JSON
// object with stable keys. The recovery is in seconds, added latencies are in
// milliseconds.
func (r *Report) MarshalJSON() ([]byte, error) {
	list := r.inRate()
	worst, _ := r.worstOrg(list)
	promises := []map[string]any{}
	for _, v := range r.promises() {
		promises = append(promises, map[string]any{"name": v.name, "held": v.example == "", "example": v.example})
	}
	return json.Marshal(map[string]any{
		"goodput":  r.goodput(list),
		"recovery": r.recovery(list).Seconds(),
		"worst":    worst,
		"inrate":   fraction(list, func(o outcome) bool { return o.refused }),
		"domain":   map[string]float64{"out": fraction(r.whileOut(list), isServed), "back": fraction(r.onReturn(list), isServed)},
		"added":    map[string]float64{"p50": r.probes.added(p50), "p99": r.probes.added(p99)},
		"control":  map[string]float64{"core": r.coreFraction, "bytes": r.perDaemon(), "resident": r.residentBytes},
		"store":    map[string]float64{"reads": r.perSecond(r.reads), "writes": r.perSecond(r.writes)},
		"promises": promises,
	})
}
