package main

import (
	"time"

	"anvilstand/core/model"
)

// slot is the resolution of the measures over time.
const slot = 250 * time.Millisecond

// tally counts what happens in a run.
type tally struct {
	good    []float64 // wishes fulfilled, by slot
	useful  []float64 // seconds of work of requests fulfilled, by slot
	vain    []float64 // seconds of work of the others, by slot
	wished  map[window]float64
	byOrg   map[window]float64
	byRoot  map[window]float64
	windows map[window]*count
	reasons map[string]int
}

// window is a slot of an organisation or a service.
type window struct {
	name string
	slot int
}

// count is what gates and callers did in one window.
type count struct {
	topShed  int // requests of the top rank refused for load
	lowerRun int // requests of lower ranks started
}

func slotOf(now instant) int { return int(now / instant(slot)) }

func add(list *[]float64, now instant, x float64) {
	i := slotOf(now)
	for len(*list) <= i {
		*list = append(*list, 0)
	}
	(*list)[i] += x
}

func (t *tally) wish(now instant, h *wish) {
	t.wished[window{rankName(h.org, h.rank), slotOf(now)}]++
}

func (t *tally) fulfilled(now instant, h *wish, work float64) {
	add(&t.good, now, 1)
	add(&t.useful, now, work)
	t.byOrg[window{orgName(h.org), slotOf(now)}]++
	t.byRoot[window{string(h.service), slotOf(now)}]++
}

func orgName(i int) string { return string(rune('0' + i)) }

func rankName(i int, r model.Rank) string { return orgName(i) + "/" + string(rune('0'+r)) }

func (t *tally) wasted(now instant, work float64) { add(&t.vain, now, work) }

func (t *tally) window(now instant, s model.Service) *count {
	k := window{string(s), slotOf(now)}
	if t.windows[k] == nil {
		t.windows[k] = &count{}
	}
	return t.windows[k]
}

// early counts a request refused by the caller's daemon.
func (t *tally) early(now instant, c *call) {
	t.reasons["early"]++
	if c.call.Rank() == model.RankHighest {
		t.window(now, c.service).topShed++
	}
}

// refuse counts a request refused by a gate.
func (t *tally) refuse(now instant, c *call, r *model.Refusal) {
	t.reasons[model.ReasonName(r.Reason())]++
	_, late := r.Reason().(model.Late)
	if c.call.Rank() == model.RankHighest && !late {
		t.window(now, c.service).topShed++
	}
}

// start counts a request started by a gate.
func (t *tally) start(now instant, c *call) {
	if c.call.Rank() != model.RankHighest {
		t.window(now, c.service).lowerRun++
	}
}

func sum(list []float64, from, to time.Duration) float64 {
	total := 0.0
	for i := max(0, int(from/slot)); i < int(to/slot) && i < len(list); i++ {
		total += list[i]
	}
	return total
}

func sumOf(m map[window]float64, name string, from, to time.Duration) float64 {
	total := 0.0
	for i := int(from / slot); i < int(to/slot); i++ {
		total += m[window{name, i}]
	}
	return total
}

func newTally() tally {
	return tally{
		wished:  map[window]float64{},
		byOrg:   map[window]float64{},
		byRoot:  map[window]float64{},
		windows: map[window]*count{},
		reasons: map[string]int{},
	}
}
