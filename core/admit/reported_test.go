package admit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/admit"
	"anvilstand/core/model"
)

// offerOne offers a request with one second until its deadline, and returns how
// many requests start.
func offerOne(c *admit.Controller, now model.Instant, id uint64) int {
	var out admit.Outbox
	call := model.NewCall("r", "acme", model.RankHighest).WithTimeLeft(time.Second)
	_ = c.Offer(now, admit.NewTicket(id, call, now), &out)
	return countStarts(&out)
}

func countStarts(out *admit.Outbox) int {
	n := 0
	for _, a := range out.Actions() {
		if _, ok := a.(admit.Start); ok {
			n++
		}
	}
	return n
}

// The limit follows the slots that a target reports.
func TestReportedSlots(t *testing.T) {
	cases := map[string]struct{ slots, want int }{
		"some slots are left free, because a full target is slow": {slots: 100, want: 94},
		"few slots":         {slots: 1, want: admit.MinLimit},
		"no slots reported": {slots: 0, want: admit.InitialLimit},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var c admit.Controller
			c.SetSlots(tc.slots)
			if diff := cmp.Diff(tc.want, c.Limit()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A cold target must not get more requests than its start rate allows in any
// window of one second, though many more are offered and each is answered at once.
func TestWarmupRate(t *testing.T) {
	const (
		rate  = 29.0
		bound = rate*1.5 + 5 // starts that the users' cold targets tolerate within a second
		step  = model.Instant(time.Millisecond)
	)
	var c admit.Controller
	var first admit.Outbox
	c.SetSlots(100)
	c.SetWarmupRate(0, rate, &first)
	var starts []model.Instant
	id := uint64(0)
	for now := model.Instant(0); now < model.Instant(5*time.Second); now += step {
		id++
		var out admit.Outbox
		call := model.NewCall("r", "acme", model.RankHighest).WithTimeLeft(time.Second)
		_ = c.Offer(now, admit.NewTicket(id, call, now), &out)
		c.Tick(now, &out)
		for _, a := range out.Actions() {
			if s, ok := a.(admit.Start); ok {
				starts = append(starts, now)
				var more admit.Outbox
				c.Finish(now, s.ID(), admit.Abandoned{}, &more)
				for range countStarts(&more) {
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
			t.Fatalf("%d requests started in the second from %s, want %.1f at most", n, time.Duration(starts[i]), bound)
		}
	}
	if n := float64(len(starts)); n < 4*rate {
		t.Errorf("%v requests started in 5 s, want %v at least", n, 4*rate)
	}
}

// When a target becomes warm, the queued requests start at once.
func TestWarmupRateRemoved(t *testing.T) {
	var c admit.Controller
	var out admit.Outbox
	c.SetSlots(100)
	c.SetWarmupRate(0, 1, &out)
	n := 0
	for id := range uint64(4) {
		n += offerOne(&c, 0, id+1)
	}
	if diff := cmp.Diff(1, n); diff != "" {
		t.Fatal(diff)
	}
	if d, ok := c.NextWarmupStart(0); !ok || d > time.Second {
		t.Errorf("next start in %s, %v; want one within a second", d, ok)
	}
	c.SetWarmupRate(0, 0, &out)
	if diff := cmp.Diff(3, countStarts(&out)); diff != "" {
		t.Error(diff)
	}
}

// When a target answers so late that no request could meet its deadline, all are
// refused and no new answers come. The average latency must decay, so that the
// target gets requests again.
func TestAverageLatencyDecays(t *testing.T) {
	var c admit.Controller
	c.SetSlots(100)
	now := model.Instant(0)
	for id := range uint64(50) {
		var out admit.Outbox
		call := model.NewCall("r", "acme", model.RankHighest).WithTimeLeft(time.Minute)
		_ = c.Offer(now, admit.NewTicket(id+1, call, now), &out)
		c.Finish(now, id+1, admit.NewServed(3*time.Second), &out)
	}
	if diff := cmp.Diff(0, offerOne(&c, now, 100)); diff != "" {
		t.Error(diff)
	}
	now = now.Add(4 * time.Second)
	if diff := cmp.Diff(1, offerOne(&c, now, 101)); diff != "" {
		t.Error(diff)
	}
}
