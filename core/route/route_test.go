package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/route"
)

const second = model.Instant(time.Second)

var members = []fleet.Member{
	fleet.NewMember("n1", "north", "stock", ""),
	fleet.NewMember("n2", "north", "stock", ""),
	fleet.NewMember("e1", "east", "stock", ""),
	fleet.NewMember("s1", "south", "stock", ""),
}

// picks picks 200 times and returns the names of the targets picked, and the texts
// of the refusals.
func picks(b *route.Balancer, now model.Instant, list []fleet.Member, position model.Position) map[string]bool {
	rnd := rand.New(rand.NewPCG(1, 2))
	got := map[string]bool{}
	for range 200 {
		m, err := b.Pick(now, rnd, list, route.NewPickInfo("north", "GET /", position))
		if err != nil {
			got[err.Error()] = true
			continue
		}
		got[string(m.Name())] = true
	}
	return got
}

func TestPick(t *testing.T) {
	open, full := route.NewReport(model.PositionCount, 0.2, 10), route.NewReport(model.PositionCount, 1.5, 10)
	cases := map[string]struct {
		setup    func(*route.Balancer)
		list     []fleet.Member
		position model.Position
		now      model.Instant
		want     map[string]bool
	}{
		"own failure domain first": {
			list: members, want: map[string]bool{"n1": true, "n2": true},
		},
		"other domains without a target in the own one": {
			list: members[2:], want: map[string]bool{"e1": true, "s1": true},
		},
		"no target": {
			want: map[string]bool{"refused: notarget, run: not": true},
		},
		"other domains when the own one is full": {
			setup: func(b *route.Balancer) {
				b.Update(0, "n1", "GET /", full)
				b.Update(0, "n2", "GET /", full)
				b.Update(0, "e1", "GET /", open)
				b.Update(0, "s1", "GET /", open)
			},
			list: members, want: map[string]bool{"e1": true, "s1": true, "n1": true, "n2": true},
		},
		"own domain again when the reports have expired": {
			setup: func(b *route.Balancer) {
				b.Update(0, "n1", "GET /", full)
				b.Update(0, "n2", "GET /", full)
			},
			list: members, now: 2 * second, want: map[string]bool{"n1": true, "n2": true},
		},
		"no target whose level refuses the request": {
			setup: func(b *route.Balancer) { b.Update(0, "n1", "GET /", route.NewReport(1000, 0.9, 10)) },
			list:  members, position: 1000, want: map[string]bool{"n2": true},
		},
		"a more important request passes the level": {
			setup: func(b *route.Balancer) { b.Update(0, "n1", "GET /", route.NewReport(1000, 0.2, 10)) },
			list:  members, position: 999, want: map[string]bool{"n1": true, "n2": true},
		},
		"shed when all levels refuse the request": {
			setup: func(b *route.Balancer) {
				for _, m := range members {
					b.Update(0, m.Name(), "GET /", route.NewReport(1000, 0.9, 10))
				}
			},
			list: members, position: 1000, want: map[string]bool{"refused: shed, run: not": true},
		},
		"level of another route is ignored": {
			setup: func(b *route.Balancer) { b.Update(0, "n1", "POST /", route.NewReport(1, 0.2, 10)) },
			list:  members, position: 1000, want: map[string]bool{"n1": true, "n2": true},
		},
		"an outlier is ejected": {
			setup: func(b *route.Balancer) { failRepeatedly(b, "n1") },
			list:  members, want: map[string]bool{"n2": true},
		},
		"at most a third of the targets is ejected as outliers": {
			setup: func(b *route.Balancer) { failRepeatedly(b, "n1"); failRepeatedly(b, "n2") },
			list:  members, want: map[string]bool{"n2": true},
		},
		"all unreachable targets are ejected": {
			setup: func(b *route.Balancer) { failToConnect(b, "n1"); failToConnect(b, "n2"); failToConnect(b, "e1") },
			list:  members, want: map[string]bool{"s1": true},
		},
		"refused when every target is unreachable": {
			setup: func(b *route.Balancer) {
				for _, m := range members {
					failToConnect(b, m.Name())
				}
			},
			list: members, want: map[string]bool{"refused: notarget, run: not": true},
		},
		"the last reachable target, though an outlier": {
			setup: func(b *route.Balancer) { failToConnect(b, "n1"); failToConnect(b, "n2"); failRepeatedly(b, "e1") },
			list:  members[:3], want: map[string]bool{"e1": true},
		},
		"unreachable targets are tried again after the ejection": {
			setup: func(b *route.Balancer) {
				for _, m := range members {
					failToConnect(b, m.Name())
				}
			},
			list: members, now: second, want: map[string]bool{"n1": true, "n2": true},
		},
		"an unreachable target gets a probe after the ejection": {
			setup: func(b *route.Balancer) { failToConnect(b, "n1") },
			list:  members, now: 2 * second, want: map[string]bool{"n1": true, "n2": true},
		},
		"no second request during the probe": {
			setup: func(b *route.Balancer) { failToConnect(b, "n1"); b.StartAttempt("n1") },
			list:  members, now: 2 * second, want: map[string]bool{"n2": true},
		},
		"an outlier is used again after the ejection": {
			setup: func(b *route.Balancer) { failRepeatedly(b, "n1") },
			list:  members, now: 2 * second, want: map[string]bool{"n1": true, "n2": true},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var balancer route.Balancer
			if tc.setup != nil {
				tc.setup(&balancer)
			}
			if diff := cmp.Diff(tc.want, picks(&balancer, tc.now, tc.list, tc.position)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// failToConnect makes a target unreachable at instant 0.
func failToConnect(b *route.Balancer, name model.Instance) {
	b.StartAttempt(name)
	b.Finish(0, name, route.Unreached{})
}

// failRepeatedly makes a target an outlier at instant 0.
func failRepeatedly(b *route.Balancer, name model.Instance) {
	for range route.OutlierFailures {
		b.StartAttempt(name)
		b.Finish(0, name, route.Broken{})
	}
}

func TestPickPrefersLessLoaded(t *testing.T) {
	var balancer route.Balancer
	balancer.Update(0, "n1", "GET /", route.NewReport(model.PositionCount, 0.9, 10))
	balancer.Update(0, "n2", "GET /", route.NewReport(model.PositionCount, 0.1, 10))
	rnd := rand.New(rand.NewPCG(1, 2))
	got := map[model.Instance]int{}
	for range 1000 {
		m, _ := balancer.Pick(0, rnd, members, route.NewPickInfo("north", "GET /", 0))
		got[m.Name()]++
	}
	if got["n1"] < 200 || got["n1"] > 300 {
		t.Errorf("the more loaded of two targets was picked %d times of 1000, want about 250", got["n1"])
	}
}

func TestLevelRisesWithAge(t *testing.T) {
	var balancer route.Balancer
	balancer.Update(0, "n1", "GET /", route.NewReport(100, 1, 10))
	last := model.Position(0)
	for now := model.Instant(0); now <= second; now += second / 10 {
		level := balancer.Level(now, members[:1], "GET /")
		if level < last {
			t.Fatalf("level fell from %d to %d", last, level)
		}
		last = level
	}
	if diff := cmp.Diff(model.PositionCount, last); diff != "" {
		t.Error(diff)
	}
}
