package crash_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/crash"
	"anvilstand/core/model"
)

func TestSuspicion(t *testing.T) {
	cases := map[string]struct {
		crashes []crash.Report
		served  []model.Fingerprint
		clear   []model.Fingerprint
		suspect []model.Fingerprint
		poison  []model.Fingerprint
	}{
		"one crash makes suspects": {
			crashes: []crash.Report{crash.NewReport("t1", 1, []model.Fingerprint{1, 2})},
			suspect: []model.Fingerprint{1, 2}, clear: []model.Fingerprint{3},
		},
		"the only one in both crashes is poison, the others are cleared": {
			crashes: []crash.Report{
				crash.NewReport("t1", 1, []model.Fingerprint{1, 2, 3}),
				crash.NewReport("t2", 1, []model.Fingerprint{3, 4, 5}),
			},
			poison: []model.Fingerprint{3}, clear: []model.Fingerprint{1, 2, 4, 5},
		},
		"several in both crashes stay suspects": {
			crashes: []crash.Report{
				crash.NewReport("t1", 1, []model.Fingerprint{1, 2, 3}),
				crash.NewReport("t2", 1, []model.Fingerprint{2, 3, 5}),
			},
			suspect: []model.Fingerprint{2, 3}, clear: []model.Fingerprint{1, 5},
		},
		"a crash reported twice counts once": {
			crashes: []crash.Report{
				crash.NewReport("t1", 1, []model.Fingerprint{1}),
				crash.NewReport("t1", 1, []model.Fingerprint{1}),
			},
			suspect: []model.Fingerprint{1},
		},
		"a suspect that was served is cleared": {
			crashes: []crash.Report{
				crash.NewReport("t1", 1, []model.Fingerprint{1, 2}),
			},
			served: []model.Fingerprint{1}, clear: []model.Fingerprint{1}, suspect: []model.Fingerprint{2},
		},
		"no suspects when too many were in flight": {
			crashes: []crash.Report{crash.NewReport("t1", 1, make([]model.Fingerprint, crash.MaxSuspects+1))},
			clear:   []model.Fingerprint{0},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var tracker crash.Tracker
			for _, report := range tc.crashes {
				tracker.AddReport(0, report)
			}
			for _, p := range tc.served {
				tracker.MarkServed(p)
			}
			for want, list := range map[crash.State][]model.Fingerprint{
				crash.Clear{}: tc.clear, crash.Suspect{}: tc.suspect, crash.Poison{}: tc.poison,
			} {
				for _, p := range list {
					if diff := cmp.Diff(want, tracker.State(0, p)); diff != "" {
						t.Errorf("request %d: %s", p, diff)
					}
				}
			}
			later := model.Instant(crash.PoisonTime)
			for _, p := range tc.poison {
				if diff := cmp.Diff(crash.State(crash.Clear{}), tracker.State(later, p)); diff != "" {
					t.Errorf("request %d after PoisonTime: %s", p, diff)
				}
			}
		})
	}
}

// A caller keeps sending a poison request among harmless ones to all targets. At
// most two targets may crash, and no harmless request may be taken for poison.
func TestAtMostTwoTargetsCrash(t *testing.T) {
	var tracker crash.Tracker
	inFlightAt := map[model.Instance]*crash.InFlight{"t1": {}, "t2": {}, "t3": {}}
	const poison = model.Fingerprint(99)
	crashes, id := 0, uint64(0)
	now := model.Instant(0)
	for round := range 20 {
		for _, name := range []model.Instance{"t1", "t2", "t3"} {
			now = now.Add(time.Second)
			flights := inFlightAt[name]
			started := []uint64{}
			for k := range model.Fingerprint(5) {
				id++
				if flights.Start(id, model.Fingerprint(round*10)+k, tracker.State(now, model.Fingerprint(round*10)+k)) == nil {
					started = append(started, id)
				}
			}
			id++
			if flights.Start(id, poison, tracker.State(now, poison)) == nil {
				crashes++
				if report, ok := flights.ConnBroken(now, name, id); ok {
					tracker.AddReport(now, report)
				}
				flights.Finish(id)
			}
			for _, n := range started {
				flights.Finish(n)
			}
		}
	}
	if crashes > 2 {
		t.Errorf("%d targets crashed, want 2 at most", crashes)
	}
	for p := range poison {
		if _, bad := tracker.State(now, p).(crash.Poison); bad {
			t.Errorf("harmless request %d is taken for poison", p)
		}
	}
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	var inFlight crash.InFlight
	first := inFlight.Start(1, 1, crash.Suspect{})
	second := inFlight.Start(2, 2, crash.Suspect{})
	clear := inFlight.Start(3, 3, crash.Clear{})
	inFlight.Finish(1)
	third := inFlight.Start(4, 2, crash.Suspect{})
	got := []bool{first == nil, second == nil, clear == nil, third == nil}
	if diff := cmp.Diff([]bool{true, false, true, true}, got); diff != "" {
		t.Error(diff)
	}
}

// A crash breaks all connections to its target and must count only once. A request
// that came after it and breaks too is another crash.
func TestOneCrashBreaksManyConnections(t *testing.T) {
	var inFlight crash.InFlight
	for id := range uint64(3) {
		_ = inFlight.Start(id, model.Fingerprint(id), crash.Clear{})
	}
	got := []bool{}
	for _, id := range []uint64{0, 1, 2} {
		_, crashed := inFlight.ConnBroken(0, "t1", id)
		inFlight.Finish(id)
		got = append(got, crashed)
	}
	_ = inFlight.Start(3, 1, crash.Suspect{})
	_, crashed := inFlight.ConnBroken(0, "t1", 3)
	if diff := cmp.Diff([]bool{true, false, false, true}, append(got, crashed)); diff != "" {
		t.Error(diff)
	}
}
