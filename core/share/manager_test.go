package share

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

var (
	selfHolder  = NewHolder("n1", "a1", 1)
	otherHolder = NewHolder("n2", "a2", 2)
)

// loneManager returns a desk that is alone in its domain and has asked to write its
// first title, with that swap.
func loneManager(t *testing.T) (*Desk, Swap, model.Instant) {
	t.Helper()
	draft := conf.Edit(&conf.Config{})
	draft.PutOrg("acme", conf.Org{}.WithRate(100, 50))
	d := NewDesk(selfHolder, "d", 0, 1)
	d.Configure(0, draft.Commit(1), []fleet.Member{fleet.NewMember("n1", "d", "s", "a1").WithIncarnation(1)})
	now := model.Instant(time.Second)
	var out Outbox
	d.Tick(now, &out)
	read, ok := out.Actions()[0].(Read)
	if !ok {
		t.Fatalf("the desk began with %T", out.Actions()[0])
	}
	d.Loaded(now, "acme", read.Op(), 0, Record{}, &out)
	out = Outbox{}
	d.Tick(now, &out)
	swap, ok := out.Actions()[0].(Swap)
	if !ok {
		t.Fatalf("the desk went on with %T", out.Actions()[0])
	}
	return d, swap, now
}

// TestFirstTitleIsFull checks in which order the answers to the first swap may
// come, each of which leaves one title with the whole burst, or an empty one
// when its origin is not certain.
func TestFirstTitle(t *testing.T) {
	known := func(d *Desk, s Swap, now model.Instant, out *Outbox) {
		d.Hear(now, NewKnown("acme", 0, otherHolder, 1, s.Record()), out)
	}
	done := func(d *Desk, s Swap, now model.Instant, out *Outbox) {
		d.Stored(now, "acme", s.Op(), NewDone(1), out)
	}
	far := func(d *Desk, s Swap, now model.Instant, out *Outbox) {
		d.Stored(now, "acme", s.Op(), NewDone(417), out)
	}
	lost := func(d *Desk, s Swap, now model.Instant, out *Outbox) {
		d.Stored(now, "acme", s.Op(), Lost{}, out)
		d.Tick(now.Add(time.Second), out)
	}
	reread := func(version, writes uint64) func(*Desk, Swap, model.Instant, *Outbox) {
		return func(d *Desk, s Swap, now model.Instant, out *Outbox) {
			d.Loaded(now, "acme", s.Op()+1, version, s.Record().WithSerial(s.Record().Serial()+writes), out)
		}
	}
	cases := map[string]struct {
		answers []func(*Desk, Swap, model.Instant, *Outbox)
		level   float64
		out     float64
	}{
		"answer":                   {answers: []func(*Desk, Swap, model.Instant, *Outbox){done}, level: 50},
		"versions count all keys":  {answers: []func(*Desk, Swap, model.Instant, *Outbox){far}, level: 50},
		"answer twice":             {answers: []func(*Desk, Swap, model.Instant, *Outbox){done, done}, level: 50},
		"a peer tells first":       {answers: []func(*Desk, Swap, model.Instant, *Outbox){known, done}, level: 50},
		"lost and read":            {answers: []func(*Desk, Swap, model.Instant, *Outbox){lost, reread(1, 0)}, level: 50},
		"lost and read much later": {answers: []func(*Desk, Swap, model.Instant, *Outbox){lost, reread(3, 2)}, out: 50},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d, swap, now := loneManager(t)
			for _, answer := range tc.answers {
				var out Outbox
				answer(d, swap, now, &out)
			}
			s := d.State(now, "acme")
			if diff := cmp.Diff(tc.level, s.Level()); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(Whole, s.Weight()); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tc.out, s.Outstanding()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLeaseExpires checks that a holder issues nothing once its hold has run
// out, whatever kept it from reading the record.
func TestLeaseExpires(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration
		tokens int
	}{
		"in time":             {after: DefaultHold - 2*time.Second, tokens: 5},
		"paused past the end": {after: DefaultHold, tokens: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d, swap, now := loneManager(t)
			var out Outbox
			d.Stored(now, "acme", swap.Op(), NewDone(1), &out)
			out = Outbox{}
			d.Hear(now.Add(tc.after), NewAsk("acme", 9, otherHolder, 1, 1, 5, nil), &out)
			got := 0
			if s, ok := out.Actions()[0].(Send); ok {
				if g, ok := s.Message().(Grant); ok {
					got = g.Tokens()
				}
			}
			if diff := cmp.Diff(tc.tokens, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestRecordWithoutLeases asks for tokens while the record names no title, at the only
// daemon of the domain, which would have to ask itself.
func TestRecordWithoutLeases(t *testing.T) {
	d, swap, now := loneManager(t)
	var out Outbox
	d.Stored(now, "acme", swap.Op(), Stale{}, &out)
	d.Loaded(now, "acme", swap.Op()+1, 4, Record{}, &out)
	out = Outbox{}
	d.Want(now, Need{org: "acme", want: 3}, &out)
	for _, a := range out.Actions() {
		if c, ok := a.(Credit); ok {
			t.Errorf("%v came from nowhere", c)
		}
	}
}

// TestStoreUnreachable has the store answer nothing, and counts the calls of ten
// seconds after the first write.
func TestStoreUnreachable(t *testing.T) {
	const most = 20 // two a second
	d, swap, now := loneManager(t)
	calls := 1
	var first Outbox
	d.Stored(now, "acme", swap.Op(), Lost{}, &first)
	pending := first.Actions()
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(Tick) {
		for ; len(pending) > 0 && calls < 1000; pending = pending[1:] {
			var out Outbox
			if op := opOf(pending[0]); op != 0 {
				calls++
				d.Stored(now, "acme", op, Lost{}, &out)
			}
			pending = append(pending, out.Actions()...)
		}
		var out Outbox
		d.Tick(now, &out)
		pending = append(pending, out.Actions()...)
	}
	if calls > most {
		t.Errorf("%d calls in 10 s, want %d at most", calls, most)
	}
}

// opOf returns the number of a store call, or zero.
func opOf(a Action) uint64 {
	switch a := a.(type) {
	case Read:
		return a.Op()
	case Swap:
		return a.Op()
	case Send, Credit, Dry:
	}
	return 0
}
