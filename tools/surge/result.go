package main

import (
	"slices"
	"time"

	"anvilstand/core/model"
)

// result holds the measures of a run, taken between begin and end of its scenario.
type result struct {
	goodput       float64        // operations that succeeded, as a fraction of the capacity
	cappedGoodput float64        // goodput with each root counted up to its fraction only
	wasted        float64        // fraction of the work that was for requests that failed
	worst         float64        // lowest goodput of an organisation, as a fraction of its max-min fair rate
	recovery      time.Duration  // from the end of the trigger, or never
	inversions    int            // most requests of the highest rank shed in 1 s while lower ones started, beyond those in flight
	reasons       map[string]int // refusals by reason, over the whole run
}

// never is the recovery time of a run that did not recover.
const never = time.Hour

// run runs a scenario on a graph.
func run(g graph, sc scenario) result {
	w := newWorld(g, sc)
	w.capacity = g.capacity()
	w.buckets = make([]tokenBucket, len(sc.orgs))
	for i := range sc.orgs {
		w.scheduleArrival(i, w.capacity)
	}
	w.after(sc.begin, func() { w.startTrigger(sc.trigger) })
	w.after(sc.end, func() { w.stopTrigger(sc.trigger) })
	w.runUntil(instant(sc.duration))
	return w.measure()
}

// measure returns the result of a finished run.
func (w *world) measure() result {
	sc, st := w.scenario, &w.stats
	seconds := (sc.end - sc.begin).Seconds()
	r := result{
		goodput:    sum(st.successes, sc.begin, sc.end) / seconds / w.capacity,
		wasted:     fractionOf(sum(st.wastedWork, sc.begin, sc.end), sum(st.usefulWork, sc.begin, sc.end)),
		worst:      w.worstFairness(),
		recovery:   w.recoveryTime(),
		inversions: w.maxInversions(),
		reasons:    st.reasons,
	}
	for _, root := range w.graph.roots {
		goodput := sumOf(st.successesByRoot, string(root.service), sc.begin, sc.end) / seconds / w.capacity
		r.cappedGoodput += min(root.fraction, goodput)
	}
	return r
}

// fractionOf returns a as a fraction of a and b together, 0 if both are 0.
func fractionOf(a, b float64) float64 {
	if a+b == 0 {
		return 0
	}
	return a / (a + b)
}

// worstFairness returns the lowest goodput of an organisation as a fraction of its
// fair rate. Fair rates divide the capacity by max-min fairness, rank by rank, none
// above what the organisation sends within its rate limit.
func (w *world) worstFairness() float64 {
	sc := w.scenario
	seconds := (sc.end - sc.begin).Seconds()
	fair := make([]float64, len(sc.orgs))
	left := w.capacity
	for _, r := range ranks {
		demands := make([]float64, len(sc.orgs))
		for i := range sc.orgs {
			demands[i] = w.eligible(i, r) / seconds
		}
		for i, rate := range maxMinFair(demands, left) {
			fair[i] += rate
			left -= rate
		}
	}
	worst := 1.0
	for i := range sc.orgs {
		goodput := sumOf(w.stats.successesByOrg, orgName(i), sc.begin, sc.end) / seconds
		worst = min(worst, goodput/fair[i])
	}
	return worst
}

// eligible returns how many operations of a rank an organisation started during the
// measurement. Above its rate limit only the part within the limit counts.
func (w *world) eligible(i int, r model.Rank) float64 {
	sc := w.scenario
	total := 0.0
	for _, other := range ranks {
		total += sumOf(w.stats.operations, rankName(i, other), sc.begin, sc.end)
	}
	n := sumOf(w.stats.operations, rankName(i, r), sc.begin, sc.end)
	if rate := sc.orgs[i].rate * w.capacity * (sc.end - sc.begin).Seconds(); rate > 0 && rate < total {
		n *= rate / total
	}
	return n
}

// maxMinFair divides a capacity among demands by max-min fairness.
func maxMinFair(demands []float64, capacity float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demands[a] < demands[b] {
			return -1
		}
		return 1
	})
	fair := make([]float64, len(demands))
	for n, i := range order {
		fair[i] = min(demands[i], capacity/float64(len(order)-n))
		capacity -= fair[i]
	}
	return fair
}

// recoveredFraction is the fraction of the goodput before the trigger from which on
// a run counts as recovered.
const recoveredFraction = 0.95

// recoveryTime returns the time from the end of the trigger to the first second in
// which goodput has recovered, provided that it stays so on average until the end.
// A coldThird counts from its begin, as it takes no time.
func (w *world) recoveryTime() time.Duration {
	sc, st := w.scenario, &w.stats
	if _, ok := sc.trigger.(noTrigger); ok {
		return 0
	}
	before := sum(st.successes, sc.begin-3*time.Second, sc.begin) / 3
	end := sc.end
	if _, ok := sc.trigger.(coldThird); ok {
		end = sc.begin
	}
	for at := end; at+time.Second <= sc.duration; at += resolution {
		goodput := sum(st.successes, at, sc.duration) / (sc.duration - at).Seconds()
		if sum(st.successes, at, at+time.Second) >= recoveredFraction*before && goodput >= recoveredFraction*before {
			return at - end
		}
	}
	return never
}

// maxInversions returns the largest number of priority inversions of a service in
// any second after begin: requests of the highest rank shed or lower ones started,
// whichever is fewer, less the requests that can be in flight. The time before begin
// doesn't count, as all admission controllers begin in slow start at once.
func (w *world) maxInversions() int {
	most := 0
	for _, s := range w.graph.services {
		inFlight := s.targets * s.slots
		for i := int(w.scenario.begin / resolution); i <= int((w.scenario.duration-time.Second)/resolution); i++ {
			var total rankCount
			for k := range int(time.Second / resolution) {
				if count := w.stats.byService[countKey{string(s.name), i + k}]; count != nil {
					total.highestRefused += count.highestRefused
					total.lowerStarted += count.lowerStarted
				}
			}
			most = max(most, min(total.highestRefused, total.lowerStarted)-inFlight)
		}
	}
	return most
}
