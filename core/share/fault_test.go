package share

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// first is when traffic begins: the titles are claimed by then.
const first = 3 * time.Second

// fault is a case of the fault tests: what goes wrong, and what may be refused.
type fault struct {
	lasts   time.Duration // of the traffic
	daemons int
	hold    time.Duration
	skewed  bool
	begin   func(s *sim)
	refused float64 // the largest part of the requests in rate refused
	since   int     // second from which on refusals are under lateBound
	floor   model.Domain
	way     way
}

// Parts of the requests in rate that may be refused: while all are connected,
// and once a fault has been made good.
const (
	connectedBound = 0.001
	lateBound      = 0.001
)

func (s *sim) crash(n *node, back time.Duration) {
	n.down = true
	s.after(back, func() { s.start(n) })
}

// crashes restarts one daemon in four after a pause.
func crashes(at, back time.Duration) func(*sim) {
	return func(s *sim) {
		s.at(at, func() {
			for i := 0; i < len(s.nodes); i += 4 {
				s.crash(s.nodes[i], back)
			}
		})
	}
}

func in(n *node, d model.Domain) bool { return n.member.Domain() == d }

// cutOff separates a domain from the others and the store.
func cutOff(d model.Domain, from, until time.Duration, in1, out1 bool) func(*sim) {
	return func(s *sim) {
		s.at(from, func() {
			s.cut = func(a, b *node) bool {
				return (in1 && !in(a, d) && in(b, d)) || (out1 && in(a, d) && !in(b, d))
			}
			s.away = func(n *node) bool { return in(n, d) }
		})
		s.at(until, func() { s.cut, s.away = nil, nil })
	}
}

func storeDown(from, until time.Duration) func(*sim) {
	return func(s *sim) {
		s.at(from, func() { s.store.down = true })
		s.at(until, func() { s.store.down = false })
	}
}

func slowStore(d time.Duration) func(*sim) {
	return func(s *sim) {
		s.at(first, func() { s.store.slow = d })
	}
}

// pauses stops every fourth daemon for a time, holders among them.
func pauses(at, d time.Duration) func(*sim) {
	return func(s *sim) {
		s.at(at, func() {
			for i := 0; i < len(s.nodes); i += 4 {
				s.nodes[i].paused = s.now + d
			}
		})
	}
}

// twin starts a second daemon with the name of the first and an address of its
// own.
func twin(at time.Duration) func(*sim) {
	return func(s *sim) {
		s.at(at, func() {
			m := s.nodes[0].member
			n := &node{member: memberAt(m, fmt.Sprintf("twin%d", len(s.nodes)))}
			s.nodes = append(s.nodes, n)
			s.start(n)
		})
	}
}

func all(list ...func(*sim)) func(*sim) {
	return func(s *sim) {
		for _, f := range list {
			f(s)
		}
	}
}

// run makes a fleet, sends the traffic of the profiles and checks every step.
func (f fault) run(t *testing.T, seed uint64) *sim {
	s := newSim(seed, 3, max(f.daemons, 13))
	s.hold, s.way = f.hold, f.way
	for _, n := range s.nodes {
		s.start(n)
	}
	share := eight(nil)
	if f.skewed {
		share = eight(skewed)
	}
	s.orgs(1, share)
	f.begin(s)
	s.run(first)
	s.traffic(first, first+f.lasts)
	for s.now < first+f.lasts+time.Second {
		s.run(s.now + 20*time.Millisecond)
		over, weight := s.conserved()
		if over > 1e-6 || weight > Whole {
			t.Fatalf("at %v: %.3f tokens above a burst, weights of %d", s.now, over, weight)
		}
	}
	s.check(t)
	return s
}

func TestFaults(t *testing.T) {
	minute := 60 * time.Second
	cases := map[string]fault{
		"connected":           {lasts: minute, begin: all(), refused: 0.001},
		"skewed":              {lasts: minute, skewed: true, begin: all(), refused: 0.001},
		"sanabil skewed":      {lasts: minute, daemons: 16, skewed: true, begin: all(), refused: 0.001},
		"store down":          {lasts: 5 * minute, skewed: true, begin: storeDown(first, first+5*minute), refused: 0.01},
		"one in four":         {lasts: minute, begin: crashes(10*time.Second, 5*time.Second), refused: 0.02, since: 25},
		"one in four at once": {lasts: minute, skewed: true, begin: crashes(10*time.Second, 50*time.Millisecond), refused: 0.02, since: 20},
		"one in four, store down": {
			lasts: minute, begin: all(storeDown(9*time.Second, 30*time.Second), crashes(10*time.Second, 5*time.Second)),
			refused: 0.2, since: 40,
		},
		"cut off":         {lasts: 2 * minute, begin: cutOff("d1", 10*time.Second, 100*time.Second, true, true), refused: 0.02, floor: "d1"},
		"cut off inward":  {lasts: minute, begin: cutOff("d1", 10*time.Second, 40*time.Second, true, false), refused: 0.02, floor: "d1"},
		"cut off outward": {lasts: minute, begin: cutOff("d1", 10*time.Second, 40*time.Second, false, true), refused: 0.02, floor: "d1"},
		"holders paused":  {lasts: minute, begin: pauses(10*time.Second, 5*time.Second), refused: 0.1, since: 25},
		"holds lapse":     {lasts: 2 * minute, hold: 5 * time.Second, begin: pauses(10*time.Second, 50*time.Second), refused: 0.2, since: 75},
		"twin":            {lasts: minute, begin: twin(10 * time.Second), refused: 0.01, since: 25},
		"slow store":      {lasts: minute, begin: all(slowStore(2*time.Second), crashes(10*time.Second, time.Second)), refused: 0.05, since: 40},
		"lost answers":    {lasts: minute, begin: all(func(s *sim) { s.store.lost = 0.5 }, crashes(10*time.Second, time.Second)), refused: 0.02, since: 30},
		"bad links": {lasts: minute, skewed: true, begin: all(func(s *sim) {
			s.loss, s.twice, s.spread = 0.005, 0.1, 10*time.Millisecond
		}, crashes(10*time.Second, time.Second)), refused: 0.1},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := f.run(t, 7)
			refused, worst := s.inRate()
			waits, cold, n := s.waits()
			late := s.refusedBetween(f.since, 1000)
			t.Logf("refused in rate %.5f, worst %.5f, %d after second %d; %d of %d waited; messages %d reads %d writes %d",
				refused, worst, late, f.since, waits, n, s.messages, s.store.reads, s.store.writes)
			if refused > f.refused {
				t.Errorf("refused in rate: %.5f, the bound is %.5f", refused, f.refused)
			}
			if f.since > 0 && float64(late) > lateBound*float64(n) {
				t.Errorf("%d requests in rate refused after second %d", late, f.since)
			}
			if waits != cold {
				t.Errorf("%d requests waited that were not the first", waits-cold)
			}
			if f.floor != "" {
				s.checkFloor(t, f.floor)
			}
		})
	}
}

// checkFloor checks that a domain cut off from the rest still got its part of
// every organisation's rate.
func (s *sim) checkFloor(t *testing.T, d model.Domain) {
	t.Helper()
	n, refused := 0, 0
	for _, l := range s.load {
		n += l.arrivals / 3
		refused += l.floorRefused[d]
	}
	t.Logf("refused within the floor of %s: %d of about %d", d, refused, n)
	if float64(refused) > lateBound*float64(n) {
		t.Errorf("%d of %d requests within the floor refused", refused, n)
	}
}

// stop makes a planned stop of a daemon, and starts another process of its name
// later.
func (s *sim) stop(n *node, back time.Duration) {
	if n.down || n.member.Leaving() {
		return
	}
	process := n.member.Incarnation()
	n.member = n.member.AsLeaving()
	s.deliver(n, process, 0, func() {
		var needs Needs
		var out Outbox
		n.purse.Return(&needs)
		for _, need := range needs.List() {
			n.desk.Want(s.clock(n), need, &out)
		}
		n.desk.Resign(s.clock(n), &out)
		s.act(n, &out)
	})
	s.after(500*time.Millisecond, func() {
		if n.member.Incarnation() == process && !n.down {
			s.configure()
			n.down = true
			s.after(back, func() { s.start(n) })
		}
	})
}

// mishaps are the faults that TestChaos draws from, each at a time and for a
// while.
var mishaps = map[string]func(s *sim, n *node, lasts time.Duration){
	"crash": func(s *sim, n *node, lasts time.Duration) {
		if !n.down {
			s.crash(n, lasts)
		}
	},
	"stop":  func(s *sim, n *node, lasts time.Duration) { s.stop(n, lasts) },
	"pause": func(s *sim, n *node, lasts time.Duration) { n.paused = s.now + lasts },
	"down": func(s *sim, _ *node, lasts time.Duration) {
		s.store.down = true
		s.after(lasts, func() { s.store.down = false })
	},
	"slow": func(s *sim, _ *node, lasts time.Duration) {
		s.store.slow = 3 * time.Second
		s.after(lasts, func() { s.store.slow = 0 })
	},
	"lost": func(s *sim, _ *node, lasts time.Duration) {
		s.store.lost = 0.7
		s.after(lasts, func() { s.store.lost = 0 })
	},
	"cut": func(s *sim, n *node, lasts time.Duration) {
		cutOff(n.member.Domain(), s.now, s.now+lasts, true, true)(s)
	},
	"inward": func(s *sim, n *node, lasts time.Duration) {
		cutOff(n.member.Domain(), s.now, s.now+lasts, true, false)(s)
	},
	"outward": func(s *sim, n *node, lasts time.Duration) {
		cutOff(n.member.Domain(), s.now, s.now+lasts, false, true)(s)
	},
	"links": func(s *sim, _ *node, lasts time.Duration) {
		s.loss, s.twice, s.spread = 0.2, 0.3, 3*time.Second
		s.after(lasts, func() { s.loss, s.twice, s.spread = 0, 0, 400*time.Microsecond })
	},
	"twin": func(s *sim, _ *node, _ time.Duration) {
		if len(s.nodes) < 8 {
			twin(s.now)(s)
		}
	},
	"empty": func(s *sim, n *node, lasts time.Duration) {
		for _, m := range s.nodes {
			if in(m, n.member.Domain()) {
				s.stop(m, lasts)
			}
		}
	},
}

// TestChaos draws schedules of faults, and checks conservation all the time and
// every window of the admissions.
func TestChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3, 6)
		s.hold = 4 * time.Second
		for _, n := range s.nodes {
			s.start(n)
		}
		s.orgs(1, map[model.Org]*traffic{
			"over":  {rate: 30, burst: 20, sends: 60},
			"under": {rate: 30, burst: 20, sends: 15},
			"tiny":  {rate: 5, burst: 2, sends: 10},
		})
		const end = 30 * time.Second
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, 22000).Draw(t, "at")) * time.Millisecond
			lasts := time.Duration(rapid.IntRange(10, 15000).Draw(t, "lasts")) * time.Millisecond
			n := s.nodes[rapid.IntRange(0, 5).Draw(t, "node")]
			do := mishaps[rapid.SampledFrom(slices.Sorted(maps.Keys(mishaps))).Draw(t, "fault")]
			s.at(at, func() { do(s, n, lasts) })
		}
		s.traffic(0, end)
		for s.now < end {
			s.run(s.now + 20*time.Millisecond)
			if over, weight := s.conserved(); over > 1e-6 || weight > Whole {
				t.Fatalf("at %v: %.3f tokens above a burst, weights of %d", s.now, over, weight)
			}
		}
		for name, l := range s.load {
			if over := l.worst(); over > 1e-6 {
				t.Fatalf("%s exceeded rate*t + burst by %.2f", name, over)
			}
		}
	})
}

// TestLowered lowers a rate and a burst while requests come at several times
// the rate. Each daemon learns it up to a second later. From Life after that on,
// every window keeps to the new rate.
func TestLowered(t *testing.T) {
	cases := map[string]func(*sim){
		"connected":  all(),
		"store down": storeDown(first, time.Minute),
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(5, 3, 13)
			s.orgs(1, map[model.Org]*traffic{"acme": {rate: 200, burst: 100, sends: 400}})
			begin(s)
			s.run(first)
			s.traffic(first, 30*time.Second)
			const at, inForce = 10 * time.Second, 5 * time.Second
			s.run(at)
			s.check(t)
			draft := conf.Edit(s.config)
			draft.PutOrg("acme", conf.Org{}.WithRate(40, 20))
			s.config = draft.Commit(2)
			for _, n := range s.nodes {
				s.after(time.Duration(s.rnd.Int64N(int64(time.Second))), func() {
					n.desk.Configure(s.clock(n), s.config, s.members())
				})
			}
			s.run(30 * time.Second)
			l := s.load["acme"]
			late := traffic{rate: 40, burst: 20}
			for _, admitted := range l.admitted {
				if admitted >= at+inForce {
					late.admitted = append(late.admitted, admitted)
				}
			}
			if over := late.worst(); over > 1e-6 {
				t.Errorf("exceeded the new rate and burst by %.2f after %v", over, inForce)
			}
			if n := len(late.admitted); n < 500 {
				t.Errorf("%d requests admitted at a rate of 40 in 15 s", n)
			}
			for _, n := range s.nodes {
				if n.desk.State(s.clock(n), "acme").Pending() {
					t.Errorf("%s: still pending", n.member.Name())
				}
			}
		})
	}
}
