package admit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/admit"
	"anvilstand/core/model"
)

// bring brings a request with a second left, and returns how many start.
func bring(g *admit.Gate, now model.Instant, id uint64) int {
	var out admit.Outbox
	call := model.NewCall("r", "acme", model.RankTop).WithLeft(time.Second)
	_ = g.Offer(now, admit.NewTicket(id, call, now), &out)
	return begun(&out)
}

func begun(out *admit.Outbox) int {
	n := 0
	for _, a := range out.Actions() {
		if _, ok := a.(admit.Start); ok {
			n++
		}
	}
	return n
}

// TestTold holds a gate to what its target tells of its slots.
func TestTold(t *testing.T) {
	cases := map[string]struct{ slots, want int }{
		"a place is left free for what slows a full target": {slots: 100, want: 94},
		"few slots": {slots: 1, want: admit.MinLimit},
		"none told": {slots: 0, want: admit.FirstLimit},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var g admit.Gate
			g.Told(tc.slots)
			if diff := cmp.Diff(tc.want, g.Limit()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPace offers a cold target far more than it bears, answers at once, and
// counts what starts in each window of a second.
func TestPace(t *testing.T) {
	const (
		rate  = 29.0
		bound = rate*1.5 + 5 // what the users' targets bear in a second
		step  = model.Instant(time.Millisecond)
	)
	var g admit.Gate
	var first admit.Outbox
	g.Told(100)
	g.Pace(0, rate, &first)
	var starts []model.Instant
	id := uint64(0)
	for now := model.Instant(0); now < model.Instant(5*time.Second); now += step {
		id++
		var out admit.Outbox
		call := model.NewCall("r", "acme", model.RankTop).WithLeft(time.Second)
		_ = g.Offer(now, admit.NewTicket(id, call, now), &out)
		g.Tick(now, &out)
		for _, a := range out.Actions() {
			if s, ok := a.(admit.Start); ok {
				starts = append(starts, now)
				var more admit.Outbox
				g.Finish(now, s.ID(), admit.Abandoned{}, &more)
				for range begun(&more) {
					starts = append(starts, now)
				}
			}
		}
	}
	for i := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at.Sub(starts[i]) < time.Second {
				n++
			}
		}
		if float64(n) > bound {
			t.Fatalf("%d started in the second from %s, want %.1f at most", n, time.Duration(starts[i]), bound)
		}
	}
	if n := float64(len(starts)); n < 4*rate {
		t.Errorf("%v started in 5 s, want %v at least", n, 4*rate)
	}
}

// TestPaceLifted has a target turn warm while requests wait.
func TestPaceLifted(t *testing.T) {
	var g admit.Gate
	var out admit.Outbox
	g.Told(100)
	g.Pace(0, 1, &out)
	n := 0
	for id := range uint64(4) {
		n += bring(&g, 0, id+1)
	}
	if diff := cmp.Diff(1, n); diff != "" {
		t.Fatal(diff)
	}
	if d, ok := g.Due(0); !ok || d > time.Second {
		t.Errorf("due after %s, %v; want a start within a second", d, ok)
	}
	g.Pace(0, 0, &out)
	if diff := cmp.Diff(3, begun(&out)); diff != "" {
		t.Error(diff)
	}
}

// TestLateLatencyFades has a target answer so late that nothing fits in the
// time of requests, and then not at all. It must get work again.
func TestLateLatencyFades(t *testing.T) {
	var g admit.Gate
	g.Told(100)
	now := model.Instant(0)
	for id := range uint64(50) {
		var out admit.Outbox
		call := model.NewCall("r", "acme", model.RankTop).WithLeft(time.Minute)
		_ = g.Offer(now, admit.NewTicket(id+1, call, now), &out)
		g.Finish(now, id+1, admit.NewServed(3*time.Second), &out)
	}
	if diff := cmp.Diff(0, bring(&g, now, 100)); diff != "" {
		t.Error(diff)
	}
	now = now.Add(4 * time.Second)
	if diff := cmp.Diff(1, bring(&g, now, 101)); diff != "" {
		t.Error(diff)
	}
}
