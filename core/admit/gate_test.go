package admit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"anvilstand/core/admit"
	"anvilstand/core/model"
)

const (
	ms     = time.Millisecond
	second = model.Instant(time.Second)
)

func call(org model.Org, rank model.Rank, order model.Order) model.Call {
	return model.NewCall("r", org, rank).WithOrder(order).WithLeft(time.Second)
}

// offer is one ticket: its organisation, rank and order.
type offer struct {
	org   model.Org
	rank  model.Rank
	order model.Order
}

// fill brings offers to a gate whose limit is taken, and returns which were
// refused, by index. The ids are one above the index.
func fill(g *admit.Gate, offers []offer) map[int]string {
	refused := map[int]string{}
	var out admit.Outbox
	for i := range g.Limit() {
		_ = g.Offer(0, admit.NewTicket(uint64(1000+i), call("busy", 0, 0), 0), &out)
	}
	out = admit.Outbox{}
	for i, o := range offers {
		var r *model.Refusal
		if err := g.Offer(0, admit.NewTicket(uint64(i+1), call(o.org, o.rank, o.order), 0), &out); errors.As(err, &r) {
			refused[i] = model.ReasonName(r.Reason())
		}
	}
	for _, a := range out.Actions() {
		if d, ok := a.(admit.Drop); ok {
			refused[int(d.ID())-1] = model.ReasonName(d.Refusal().Reason())
		}
	}
	return refused
}

// drain finishes what runs and returns the order in which the others start.
func drain(g *admit.Gate, now model.Instant) []int {
	var order []int
	for id := uint64(1000); ; id++ {
		var out admit.Outbox
		g.Finish(now, id, admit.NewServed(ms), &out)
		if len(out.Actions()) == 0 {
			return order
		}
		for _, a := range out.Actions() {
			if s, ok := a.(admit.Start); ok {
				order = append(order, int(s.ID())-1)
			}
		}
	}
}

func TestQueue(t *testing.T) {
	cases := map[string]struct {
		offers  []offer
		refused map[int]string
		order   []int
	}{
		"within the bound, oldest first": {
			offers: []offer{{"a", 4, 0}, {"a", 4, 9}, {"a", 4, 1}},
			order:  []int{0, 1, 2},
		},
		"important ones first": {
			offers: []offer{{"a", 7, 0}, {"a", 4, 0}, {"a", 0, 0}},
			order:  []int{2, 1, 0},
		},
		"organisations take turns": {
			offers: []offer{{"a", 4, 0}, {"a", 4, 0}, {"a", 4, 0}, {"b", 4, 0}},
			order:  []int{0, 3, 1, 2},
		},
		"a more important one takes the place of the least important": {
			offers:  []offer{{"a", 4, 0}, {"a", 7, 0}, {"a", 4, 0}, {"a", 4, 0}, {"b", 0, 0}},
			refused: map[int]string{1: "shed"},
			order:   []int{4, 0, 2, 3},
		},
		"the organisation with most loses its last in order": {
			offers:  []offer{{"a", 4, 3}, {"a", 4, 9}, {"a", 4, 1}, {"b", 4, 200}, {"c", 4, 255}},
			refused: map[int]string{1: "queuefull"},
			order:   []int{0, 3, 4, 2},
		},
		"the newcomer is refused when it is the least important": {
			offers:  []offer{{"a", 4, 0}, {"a", 4, 0}, {"b", 4, 0}, {"b", 4, 0}, {"c", 7, 0}},
			refused: map[int]string{4: "queuefull"},
			order:   []int{0, 2, 1, 3},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var g admit.Gate
			refused := fill(&g, tc.offers)
			if len(tc.refused) > 0 || len(refused) > 0 {
				if diff := cmp.Diff(tc.refused, refused); diff != "" {
					t.Error("refused:", diff)
				}
			}
			if diff := cmp.Diff(tc.order, drain(&g, 1)[:len(tc.order)]); diff != "" {
				t.Error("order:", diff)
			}
		})
	}
}

func TestLeaveAndClose(t *testing.T) {
	var g admit.Gate
	fill(&g, []offer{{"a", 4, 0}, {"a", 4, 0}, {"b", 4, 0}})
	g.Leave(1)
	g.Close()
	err := g.Offer(0, admit.NewTicket(9, call("a", 0, 0), 0), &admit.Outbox{})
	if diff := cmp.Diff("refused: leaving, run: not", err.Error()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]int{1, 2}, drain(&g, 1)); diff != "" {
		t.Error(diff)
	}
}

// fake is a target with slots and a queue in order of arrival.
type fake struct {
	slots int
	takes time.Duration
}

// rig drives a gate and a fake target in steps of a millisecond.
type rig struct {
	gate  admit.Gate
	rnd   *rand.Rand
	began map[uint64]model.Instant
	ends  map[uint64]model.Instant
	free  [256]model.Instant
	next  uint64
}

func (r *rig) act(now model.Instant, f fake, out *admit.Outbox) {
	for _, a := range out.Actions() {
		s, ok := a.(admit.Start)
		if !ok {
			continue
		}
		i := 0
		for k := range f.slots {
			if r.free[k] < r.free[i] {
				i = k
			}
		}
		r.free[i] = max(now, r.free[i]).Add(time.Duration(float64(f.takes) * (0.5 + r.rnd.Float64())))
		r.began[s.ID()], r.ends[s.ID()] = now, r.free[i]
	}
}

func (r *rig) step(now model.Instant, f fake) {
	var due []uint64
	for id, end := range r.ends {
		if end <= now {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		var out admit.Outbox
		delete(r.ends, id)
		r.gate.Finish(now, id, admit.NewServed(now.Sub(r.began[id])), &out)
		r.act(now, f, &out)
	}
	for r.gate.Queued() < 2 {
		r.next++
		var out admit.Outbox
		_ = r.gate.Offer(now, admit.NewTicket(r.next, call("a", 4, 0).WithLeft(time.Hour), now), &out)
		r.act(now, f, &out)
	}
}

// press keeps a gate and a fake target busy for a time and returns the mean
// number that ran in the last quarter.
func press(f func(model.Instant) fake, lasts time.Duration) (*rig, float64) {
	r := &rig{rnd: rand.New(rand.NewPCG(1, 2)), began: map[uint64]model.Instant{}, ends: map[uint64]model.Instant{}}
	samples, sum := 0, 0
	for now := model.Instant(0); now < model.Instant(lasts); now = now.Add(ms) {
		r.step(now, f(now))
		if now > model.Instant(lasts*3/4) {
			sum += r.gate.Running()
			samples++
		}
	}
	return r, float64(sum) / float64(samples)
}

func TestLimitFindsCapacity(t *testing.T) {
	cases := map[string]struct {
		slots    int
		takes    time.Duration
		low, top float64
	}{
		"few slots":  {slots: 8, takes: 50 * ms, low: 7, top: 16},
		"some slots": {slots: 30, takes: 100 * ms, low: 28, top: 50},
		"many slots": {slots: 120, takes: 40 * ms, low: 110, top: 190},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, mean := press(func(model.Instant) fake { return fake{slots: tc.slots, takes: tc.takes} }, 12*time.Second)
			if mean < tc.low || mean > tc.top {
				t.Errorf("%.1f ran on %d slots, want %g to %g", mean, tc.slots, tc.low, tc.top)
			}
		})
	}
}

// A target whose latency grows for a reason that is not its load keeps its
// limit.
func TestLimitBearsSlowTarget(t *testing.T) {
	_, mean := press(func(now model.Instant) fake {
		if now < 6*second {
			return fake{slots: 30, takes: 40 * ms}
		}
		return fake{slots: 30, takes: 200 * ms}
	}, 20*time.Second)
	if mean < 26 {
		t.Errorf("%.1f ran on 30 slots", mean)
	}
}

func TestLimitBeginsAnewWhenConnectionsBreak(t *testing.T) {
	r, mean := press(func(model.Instant) fake { return fake{slots: 30, takes: 40 * ms} }, 4*time.Second)
	if mean < 20 {
		t.Fatal("ran", mean)
	}
	for id := range r.ends {
		r.gate.Finish(5*second, id, admit.Failed{}, &admit.Outbox{})
	}
	if diff := cmp.Diff(admit.FirstLimit, r.gate.Limit()); diff != "" {
		t.Error(diff)
	}
}

func TestOrder(t *testing.T) {
	type row struct{ small, large int }
	var below row
	const level = 60
	for i := range 2000 {
		id := model.Request(rune('a' + i%26))
		id += model.Request(time.Duration(i).String())
		if admit.OrderOf(id, "small", 10) < level {
			below.small++
		}
		if admit.OrderOf(id, "large", 100) < level {
			below.large++
		}
	}
	ratio := float64(below.small) / float64(below.large)
	if ratio < 6 || ratio > 14 {
		t.Errorf("a level admits %d of 2000 of the small, %d of the large, want ten times as many", below.small, below.large)
	}
}
