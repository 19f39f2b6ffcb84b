package main

import (
	"slices"
	"time"

	"anvilstand/core/model"
)

// result is what a run measured between begin and end of its plan.
type result struct {
	goodput  float64 // wishes fulfilled, in parts of the capacity
	even     float64 // the same, no root counted above its part
	wasted   float64 // part of the work that was for requests not fulfilled
	worst    float64 // worst part of its fair part that an organisation got
	recovery time.Duration
	inverted int // most requests of the top rank shed in 1 s while lower ran, beyond what was in flight
	reasons  map[string]int
}

// never is the recovery time of a run that did not recover.
const never = time.Hour

// run runs a plan on a graph.
func run(g graph, p plan) result {
	w := newWorld(g, p)
	w.capacity = g.capacity()
	w.purses = make([]purse, len(p.orgs))
	for i := range p.orgs {
		w.arrivals(i, w.capacity)
	}
	w.after(p.begin, func() { w.start(p.trigger) })
	w.after(p.end, func() { w.stop(p.trigger) })
	w.run(instant(p.lasts))
	return w.measure()
}

func (w *world) measure() result {
	p, t := w.plan, &w.tally
	seconds := (p.end - p.begin).Seconds()
	r := result{
		goodput:  sum(t.good, p.begin, p.end) / seconds / w.capacity,
		wasted:   ratio(sum(t.vain, p.begin, p.end), sum(t.useful, p.begin, p.end)),
		worst:    w.worst(),
		recovery: w.recovery(),
		inverted: w.inverted(),
		reasons:  t.reasons,
	}
	for _, root := range w.graph.roots {
		got := sumOf(t.byRoot, string(root.service), p.begin, p.end) / seconds / w.capacity
		r.even += min(root.part, got)
	}
	return r
}

func ratio(a, b float64) float64 {
	if a+b == 0 {
		return 0
	}
	return a / (a + b)
}

// worst returns the least part of its fair part that an organisation got. The
// fair parts divide the capacity evenly, none above what it may ask for, rank
// by rank.
func (w *world) worst() float64 {
	p := w.plan
	seconds := (p.end - p.begin).Seconds()
	fair := make([]float64, len(p.orgs))
	left := w.capacity
	for _, r := range ranks {
		asked := make([]float64, len(p.orgs))
		for i := range p.orgs {
			asked[i] = w.asked(i, r) / seconds
		}
		for i, part := range fairParts(asked, left) {
			fair[i] += part
			left -= part
		}
	}
	worst := 1.0
	for i := range p.orgs {
		got := sumOf(w.tally.byOrg, orgName(i), p.begin, p.end) / seconds
		worst = min(worst, got/fair[i])
	}
	return worst
}

// asked returns how many requests of a rank an organisation may ask for during
// the measurement.
func (w *world) asked(i int, r model.Rank) float64 {
	p := w.plan
	all := 0.0
	for _, other := range ranks {
		all += sumOf(w.tally.wished, rankName(i, other), p.begin, p.end)
	}
	n := sumOf(w.tally.wished, rankName(i, r), p.begin, p.end)
	if rate := p.orgs[i].rate * w.capacity * (p.end - p.begin).Seconds(); rate > 0 && rate < all {
		n *= rate / all
	}
	return n
}

// fairParts divides a capacity by max-min fairness.
func fairParts(asked []float64, capacity float64) []float64 {
	order := make([]int, len(asked))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if asked[a] < asked[b] {
			return -1
		}
		return 1
	})
	fair := make([]float64, len(asked))
	for n, i := range order {
		fair[i] = min(asked[i], capacity/float64(len(order)-n))
		capacity -= fair[i]
	}
	return fair
}

// recovered is the part of the goodput before the trigger that counts as back.
const recovered = 0.95

// recovery returns the time from the end of the trigger to the first second
// from which on goodput is back.
func (w *world) recovery() time.Duration {
	p, t := w.plan, &w.tally
	if _, ok := p.trigger.(calm); ok {
		return 0
	}
	before := sum(t.good, p.begin-3*time.Second, p.begin) / 3
	end := p.end
	if _, ok := p.trigger.(coldThird); ok {
		end = p.begin
	}
	for at := end; at+time.Second <= p.lasts; at += slot {
		rest := sum(t.good, at, p.lasts) / (p.lasts - at).Seconds()
		if sum(t.good, at, at+time.Second) >= recovered*before && rest >= recovered*before {
			return at - end
		}
	}
	return never
}

// inverted slides a window of one second over each service, from begin on:
// before, all gates start cold at once.
func (w *world) inverted() int {
	most := 0
	for _, s := range w.graph.services {
		flight := s.endpoints * s.slots
		for i := int(w.plan.begin / slot); i <= int((w.plan.lasts-time.Second)/slot); i++ {
			var c count
			for k := range int(time.Second / slot) {
				if got := w.tally.windows[window{string(s.name), i + k}]; got != nil {
					c.topShed += got.topShed
					c.lowerRun += got.lowerRun
				}
			}
			most = max(most, min(c.topShed, c.lowerRun)-flight)
		}
	}
	return most
}
