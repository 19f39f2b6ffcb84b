package crash_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/crash"
	"anvilstand/core/model"
)

func TestAccuse(t *testing.T) {
	cases := map[string]struct {
		deaths  []crash.Death
		acquit  []model.Print
		clear   []model.Print
		suspect []model.Print
		convict []model.Print
	}{
		"one death makes suspects": {
			deaths:  []crash.Death{crash.NewDeath("t1", 1, []model.Print{1, 2})},
			suspect: []model.Print{1, 2}, clear: []model.Print{3},
		},
		"the one in both is convicted, the neighbours are cleared": {
			deaths: []crash.Death{
				crash.NewDeath("t1", 1, []model.Print{1, 2, 3}),
				crash.NewDeath("t2", 1, []model.Print{3, 4, 5}),
			},
			convict: []model.Print{3}, clear: []model.Print{1, 2, 4, 5},
		},
		"several in both stay suspects": {
			deaths: []crash.Death{
				crash.NewDeath("t1", 1, []model.Print{1, 2, 3}),
				crash.NewDeath("t2", 1, []model.Print{2, 3, 5}),
			},
			suspect: []model.Print{2, 3}, clear: []model.Print{1, 5},
		},
		"a death told twice counts once": {
			deaths: []crash.Death{
				crash.NewDeath("t1", 1, []model.Print{1}),
				crash.NewDeath("t1", 1, []model.Print{1}),
			},
			suspect: []model.Print{1},
		},
		"one that was served is cleared": {
			deaths: []crash.Death{
				crash.NewDeath("t1", 1, []model.Print{1, 2}),
			},
			acquit: []model.Print{1}, clear: []model.Print{1}, suspect: []model.Print{2},
		},
		"many in flight accuse none": {
			deaths: []crash.Death{crash.NewDeath("t1", 1, make([]model.Print, crash.MaxPrints+1))},
			clear:  []model.Print{0},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var b crash.Book
			for _, d := range tc.deaths {
				b.Accuse(0, d)
			}
			for _, p := range tc.acquit {
				b.Acquit(p)
			}
			for want, list := range map[crash.Verdict][]model.Print{
				crash.Clear{}: tc.clear, crash.Suspect{}: tc.suspect, crash.Convict{}: tc.convict,
			} {
				for _, p := range list {
					if diff := cmp.Diff(want, b.Verdict(0, p)); diff != "" {
						t.Errorf("request %d: %s", p, diff)
					}
				}
			}
			later := model.Instant(crash.ConvictTime)
			for _, p := range tc.convict {
				if diff := cmp.Diff(crash.Verdict(crash.Clear{}), b.Verdict(later, p)); diff != "" {
					t.Errorf("request %d after its time: %s", p, diff)
				}
			}
		})
	}
}

// A caller sends a killing request again and again among innocent ones, to
// any target. At most two targets die, and no innocent request is convicted.
func TestAtMostTwoDie(t *testing.T) {
	var b crash.Book
	wards := map[model.Instance]*crash.Ward{"t1": {}, "t2": {}, "t3": {}}
	const poison = model.Print(99)
	deaths, id := 0, uint64(0)
	now := model.Instant(0)
	for round := range 20 {
		for _, name := range []model.Instance{"t1", "t2", "t3"} {
			now = now.Add(time.Second)
			w := wards[name]
			inside := []uint64{}
			for k := range model.Print(5) {
				id++
				if w.Enter(id, model.Print(round*10)+k, b.Verdict(now, model.Print(round*10)+k)) == nil {
					inside = append(inside, id)
				}
			}
			id++
			if w.Enter(id, poison, b.Verdict(now, poison)) == nil {
				deaths++
				if d, ok := w.Break(now, name, id); ok {
					b.Accuse(now, d)
				}
				w.Leave(id)
			}
			for _, n := range inside {
				w.Leave(n)
			}
		}
	}
	if deaths > 2 {
		t.Errorf("%d targets died", deaths)
	}
	for p := range poison {
		if _, bad := b.Verdict(now, p).(crash.Convict); bad {
			t.Errorf("request %d is convicted", p)
		}
	}
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	var w crash.Ward
	first := w.Enter(1, 1, crash.Suspect{})
	second := w.Enter(2, 2, crash.Suspect{})
	clear := w.Enter(3, 3, crash.Clear{})
	w.Leave(1)
	third := w.Enter(4, 2, crash.Suspect{})
	got := []bool{first == nil, second == nil, clear == nil, third == nil}
	if diff := cmp.Diff([]bool{true, false, true, true}, got); diff != "" {
		t.Error(diff)
	}
}

func TestOneDeathBreaksManyConnections(t *testing.T) {
	var w crash.Ward
	for id := range uint64(3) {
		_ = w.Enter(id, model.Print(id), crash.Clear{})
	}
	got := []bool{}
	for _, id := range []uint64{0, 1, 2} {
		_, died := w.Break(0, "t1", id)
		w.Leave(id)
		got = append(got, died)
	}
	_ = w.Enter(3, 1, crash.Suspect{})
	_, died := w.Break(0, "t1", 3)
	if diff := cmp.Diff([]bool{true, false, false, true}, append(got, died)); diff != "" {
		t.Error(diff)
	}
}
