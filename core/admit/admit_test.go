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
	return model.NewCall("r", org, rank).WithOrder(order).WithTimeLeft(time.Second)
}

// offer is a request to admit, by organisation, rank and order.
type offer struct {
	org   model.Org
	rank  model.Rank
	order model.Order
}

// fillQueue uses up the limit of a controller, then makes the offers, and returns the
// reasons of those refused by the index of the offer. The id of an offer is its
// index plus one.
func fillQueue(c *admit.Controller, offers []offer) map[int]string {
	refused := map[int]string{}
	var out admit.Outbox
	for i := range c.Limit() {
		_ = c.Offer(0, admit.NewTicket(uint64(1000+i), call("busy", 0, 0), 0), &out)
	}
	out = admit.Outbox{}
	for i, o := range offers {
		var r *model.Refusal
		if err := c.Offer(0, admit.NewTicket(uint64(i+1), call(o.org, o.rank, o.order), 0), &out); errors.As(err, &r) {
			refused[i] = model.ReasonName(r.Reason())
		}
	}
	for _, a := range out.Actions() {
		if d, ok := a.(admit.Reject); ok {
			refused[int(d.ID())-1] = model.ReasonName(d.Refusal().Reason())
		}
	}
	return refused
}

// startOrder finishes the running requests one by one and returns the indexes of
// the queued ones in the order in which they start.
func startOrder(c *admit.Controller, now model.Instant) []int {
	var order []int
	for id := uint64(1000); ; id++ {
		var out admit.Outbox
		c.Finish(now, id, admit.NewServed(ms), &out)
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
		"oldest first within a rank": {
			offers: []offer{{"a", 4, 0}, {"a", 4, 9}, {"a", 4, 1}},
			order:  []int{0, 1, 2},
		},
		"more important rank first": {
			offers: []offer{{"a", 7, 0}, {"a", 4, 0}, {"a", 0, 0}},
			order:  []int{2, 1, 0},
		},
		"organisations are served round-robin": {
			offers: []offer{{"a", 4, 0}, {"a", 4, 0}, {"a", 4, 0}, {"b", 4, 0}},
			order:  []int{0, 3, 1, 2},
		},
		"a more important request displaces the least important": {
			offers:  []offer{{"a", 4, 0}, {"a", 7, 0}, {"a", 4, 0}, {"a", 4, 0}, {"b", 0, 0}},
			refused: map[int]string{1: "shed"},
			order:   []int{4, 0, 2, 3},
		},
		"the organisation with the most queued loses its highest order": {
			offers:  []offer{{"a", 4, 3}, {"a", 4, 9}, {"a", 4, 1}, {"b", 4, 200}, {"c", 4, 255}},
			refused: map[int]string{1: "queuefull"},
			order:   []int{0, 3, 4, 2},
		},
		"the new request is refused when it is the least important": {
			offers:  []offer{{"a", 4, 0}, {"a", 4, 0}, {"b", 4, 0}, {"b", 4, 0}, {"c", 7, 0}},
			refused: map[int]string{4: "queuefull"},
			order:   []int{0, 2, 1, 3},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var c admit.Controller
			refused := fillQueue(&c, tc.offers)
			if len(tc.refused) > 0 || len(refused) > 0 {
				if diff := cmp.Diff(tc.refused, refused); diff != "" {
					t.Error("refused:", diff)
				}
			}
			if diff := cmp.Diff(tc.order, startOrder(&c, 1)[:len(tc.order)]); diff != "" {
				t.Error("order:", diff)
			}
		})
	}
}

func TestCancelAndClose(t *testing.T) {
	var c admit.Controller
	fillQueue(&c, []offer{{"a", 4, 0}, {"a", 4, 0}, {"b", 4, 0}})
	c.Cancel(1)
	c.Close()
	err := c.Offer(0, admit.NewTicket(9, call("a", 0, 0), 0), &admit.Outbox{})
	if diff := cmp.Diff("refused: leaving, run: not", err.Error()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]int{1, 2}, startOrder(&c, 1)); diff != "" {
		t.Error(diff)
	}
}

// fakeTarget is a target that runs requests in slots, in order of arrival.
type fakeTarget struct {
	slots   int
	latency time.Duration
}

// simulation runs a controller and a fake target in steps of a millisecond.
type simulation struct {
	controller admit.Controller
	rnd        *rand.Rand
	startTimes map[uint64]model.Instant
	endTimes   map[uint64]model.Instant
	slotFree   [256]model.Instant
	lastID     uint64
}

// apply carries out the controller's actions at the fake target. Latencies vary
// at random from half to one and a half times the target's.
func (sim *simulation) apply(now model.Instant, f fakeTarget, out *admit.Outbox) {
	for _, a := range out.Actions() {
		s, ok := a.(admit.Start)
		if !ok {
			continue
		}
		i := 0
		for k := range f.slots {
			if sim.slotFree[k] < sim.slotFree[i] {
				i = k
			}
		}
		sim.slotFree[i] = max(now, sim.slotFree[i]).Add(time.Duration(float64(f.latency) * (0.5 + sim.rnd.Float64())))
		sim.startTimes[s.ID()], sim.endTimes[s.ID()] = now, sim.slotFree[i]
	}
}

// step finishes the requests that are due, and keeps two requests in the queue.
func (sim *simulation) step(now model.Instant, f fakeTarget) {
	var due []uint64
	for id, end := range sim.endTimes {
		if end <= now {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		var out admit.Outbox
		delete(sim.endTimes, id)
		sim.controller.Finish(now, id, admit.NewServed(now.Sub(sim.startTimes[id])), &out)
		sim.apply(now, f, &out)
	}
	for sim.controller.Queued() < 2 {
		sim.lastID++
		var out admit.Outbox
		_ = sim.controller.Offer(now, admit.NewTicket(sim.lastID, call("a", 4, 0).WithTimeLeft(time.Hour), now), &out)
		sim.apply(now, f, &out)
	}
}

// saturate runs a simulation for a time with requests always queued. It returns
// the mean number of running requests in the last quarter.
func saturate(targetAt func(model.Instant) fakeTarget, duration time.Duration) (*simulation, float64) {
	sim := &simulation{rnd: rand.New(rand.NewPCG(1, 2)), startTimes: map[uint64]model.Instant{}, endTimes: map[uint64]model.Instant{}}
	samples, sum := 0, 0
	for now := model.Instant(0); now < model.Instant(duration); now = now.Add(ms) {
		sim.step(now, targetAt(now))
		if now > model.Instant(duration*3/4) {
			sum += sim.controller.Running()
			samples++
		}
	}
	return sim, float64(sum) / float64(samples)
}

func TestLimitFindsCapacity(t *testing.T) {
	cases := map[string]struct {
		slots    int
		latency  time.Duration
		min, max float64
	}{
		"few slots":  {slots: 8, latency: 50 * ms, min: 7, max: 16},
		"some slots": {slots: 30, latency: 100 * ms, min: 28, max: 50},
		"many slots": {slots: 120, latency: 40 * ms, min: 110, max: 190},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, mean := saturate(func(model.Instant) fakeTarget { return fakeTarget{slots: tc.slots, latency: tc.latency} }, 12*time.Second)
			if mean < tc.min || mean > tc.max {
				t.Errorf("mean of %.1f requests running on %d slots, want %g to %g", mean, tc.slots, tc.min, tc.max)
			}
		})
	}
}

// A latency that grows for another reason than load must not lower the limit for
// good.
func TestLimitIgnoresLatencyUnrelatedToLoad(t *testing.T) {
	_, mean := saturate(func(now model.Instant) fakeTarget {
		if now < 6*second {
			return fakeTarget{slots: 30, latency: 40 * ms}
		}
		return fakeTarget{slots: 30, latency: 200 * ms}
	}, 20*time.Second)
	if mean < 26 {
		t.Errorf("mean of %.1f requests running on 30 slots, want 26 at least", mean)
	}
}

func TestLimitResetsAfterBrokenConnections(t *testing.T) {
	sim, mean := saturate(func(model.Instant) fakeTarget { return fakeTarget{slots: 30, latency: 40 * ms} }, 4*time.Second)
	if mean < 20 {
		t.Fatalf("mean of %.1f requests running before the failures, want 20 at least", mean)
	}
	for id := range sim.endTimes {
		sim.controller.Finish(5*second, id, admit.Failed{}, &admit.Outbox{})
	}
	if diff := cmp.Diff(admit.InitialLimit, sim.controller.Limit()); diff != "" {
		t.Error(diff)
	}
}

// A level must admit organisations up to the same rate, whatever they send: of one
// that sends ten times as much, a tenth of the fraction.
func TestOrderAdmitsEqualRates(t *testing.T) {
	type counts struct{ small, large int }
	var below counts
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
		t.Errorf("level admits %d of 2000 requests at 10/s and %d of 2000 at 100/s, want a ratio of about 10", below.small, below.large)
	}
}
