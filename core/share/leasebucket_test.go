package share_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"anvilstand/core/model"
	"anvilstand/core/share"
)

// batch is a batch at its taker, in the test of conservation.
type batch struct {
	tokens int
	spent  int
	told   int
	lapses model.Instant
	closed bool
}

// bucketModel runs a pot against takers that spend, report late, doubled or never.
type bucketModel struct {
	pot   share.LeaseBucket
	now   model.Instant
	rate  float64
	limit float64
	lumps map[uint64]*batch
	spent []model.Instant
}

// clock returns the time at the holder, whose clock runs fast by the drift
// bound. The takers' clocks are true.
func (m *bucketModel) clock() model.Instant {
	return model.Instant(float64(m.now) * (1 + model.DriftBound/100.0))
}

func (m *bucketModel) unspent() float64 {
	n := 0
	for _, l := range m.lumps {
		if !l.closed && m.now.Before(l.lapses) {
			n += l.tokens - l.spent
		}
	}
	return float64(n)
}

func (m *bucketModel) any(t *rapid.T) (uint64, *batch) {
	if len(m.lumps) == 0 {
		t.Skip("no lump")
	}
	id := rapid.Uint64Range(1, uint64(len(m.lumps))).Draw(t, "lump")
	return id, m.lumps[id]
}

// TestPotConserves checks at every step that what may be spent without asking
// and what is in the pot are together within the cap, and over every window
// that spending is within rate and cap.
func TestPotConserves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &bucketModel{
			rate:  rapid.Float64Range(0, 50).Draw(t, "rate"),
			limit: rapid.Float64Range(0, 40).Draw(t, "cap"),
			lumps: map[uint64]*batch{},
		}
		m.pot.Set(0, m.rate, m.limit)
		m.pot.Open(0, m.limit, 0, 0, 0)
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				var i share.IssuedBatch
				m.pot.Issue(m.clock(), rapid.IntRange(0, 30).Draw(t, "want"), &i)
				if i.Tokens() > 0 {
					m.lumps[i.ID()] = &batch{tokens: i.Tokens(), lapses: m.now.Add(share.Life)}
				}
			},
			"issue brief": func(t *rapid.T) {
				var i share.IssuedBatch
				m.pot.IssueOnDemand(m.clock(), rapid.IntRange(0, 30).Draw(t, "want"), &i)
				if i.Tokens() > 0 {
					m.lumps[i.ID()] = &batch{tokens: i.Tokens(), lapses: m.now.Add(share.Brief)}
				}
			},
			"spend": func(t *rapid.T) {
				_, l := m.any(t)
				if !l.closed && l.spent < l.tokens && m.now.Before(l.lapses) {
					l.spent++
					m.spent = append(m.spent, m.now)
				}
			},
			"report": func(t *rapid.T) {
				id, l := m.any(t)
				l.told = l.spent
				m.pot.Report(m.clock(), share.NewUse(id, l.spent, false))
			},
			"old report": func(t *rapid.T) {
				id, l := m.any(t)
				m.pot.Report(m.clock(), share.NewUse(id, rapid.IntRange(0, l.told).Draw(t, "spent"), false))
			},
			"close": func(t *rapid.T) {
				id, l := m.any(t)
				l.closed = true
				m.pot.Report(m.clock(), share.NewUse(id, l.spent, true))
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "time")))
				m.pot.Set(m.clock(), m.rate, m.limit)
			},
			"": func(t *rapid.T) { m.check(t) },
		})
	})
}

func (m *bucketModel) check(t *rapid.T) {
	if sum := m.pot.Level() + m.unspent(); sum > m.limit+1e-9 {
		t.Fatalf("%.3f tokens, the cap is %.3f", sum, m.limit)
	}
	low := 0.0
	for i, at := range m.spent {
		f := float64(i) - m.rate*at.Sub(0).Seconds()
		if i == 0 || f < low {
			low = f
		}
		if f-low+1 > m.limit+1e-6 {
			t.Fatalf("a window exceeds rate and cap by %.3f", f-low+1-m.limit)
		}
	}
}

// TestBatchExpiry lets lumps that nobody reports lapse. A brief one does not wait for
// one that was issued before it and lives longer.
func TestBatchExpiry(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		out   float64
	}{
		"both live":         {after: share.Brief, out: 5},
		"the brief one has": {after: model.Guard(share.Brief), out: 2},
		"both have":         {after: model.Guard(share.Life), out: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var (
				pot share.LeaseBucket
				i   share.IssuedBatch
			)
			pot.Set(0, 1, 10)
			pot.Open(0, 10, 0, 0, 0)
			pot.Issue(0, 2, &i)
			pot.IssueOnDemand(0, 3, &i)
			pot.Set(model.Instant(tc.after), 1, 10)
			if diff := cmp.Diff(tc.out, pot.Outstanding()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
