package watch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/life"
	"anvilstand/core/model"
	"anvilstand/io/fake"
	"anvilstand/io/watch"
)

// TestStopRecorder records stops of several targets of a failure domain at once, in a
// store with and without a fault. A later process must find what was recorded.
func TestStopRecorder(t *testing.T) {
	const targets = 5
	cases := map[string]struct {
		fault    fake.Fault
		damaged  bool
		recorded bool
	}{
		"works":              {recorded: true},
		"answers lost":       {fault: fake.LostAnswer{}, recorded: true},
		"down":               {fault: fake.Down{}},
		"damaged beforehand": {damaged: true, recorded: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var s fake.Store
			if tc.damaged {
				if _, err := s.Swap(t.Context(), watch.StopsKey("north"), 0, []byte("?"), 0); err != nil {
					t.Fatal(err)
				}
			}
			s.SetFault(tc.fault)
			var g errgroup.Group
			for i := range targets {
				name := model.Instance(fmt.Sprint("stock-", i))
				r := watch.NewStopRecorder(&s, "north", name)
				g.Go(func() error { return r.Add(t.Context(), life.NewStop(string(name), 1000)) })
			}
			if err := g.Wait(); (err == nil) != tc.recorded {
				t.Error(err)
			}
			s.SetFault(nil)
			for i := range targets {
				name := model.Instance(fmt.Sprint("stock-", i))
				got, err := watch.NewStopRecorder(&s, "north", name).Load(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				var want []int64
				if tc.recorded {
					want = []int64{1000}
				}
				var starts []int64
				for _, s := range got.Stops() {
					starts = append(starts, s.ProcessStarted())
				}
				if diff := cmp.Diff(want, starts); diff != "" {
					t.Error(name, diff)
				}
			}
		})
	}
}

// TestStopsAfterRestore guards against a stop that is forgotten with the newest writes of a
// store that was restored from an older copy, also one that was only read at the start.
func TestStopsAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s fake.Store
		s.Restore(fake.Copy{}) // so that it has eras
		empty := s.Copy()
		first := watch.NewStopRecorder(&s, "north", "stock-0")
		if err := first.Add(t.Context(), life.NewStop("i-1", 1000)); err != nil {
			t.Fatal(err)
		}
		r := watch.NewStopRecorder(&s, "north", "stock-0")
		if _, err := r.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return r.FollowEra(ctx) })
		if err := r.Add(t.Context(), life.NewStop("i-1", 2000)); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		s.Restore(empty)
		s.SetFault(fake.Down{})
		time.Sleep(5 * time.Second)
		s.SetFault(nil)
		time.Sleep(2 * time.Second)
		got, err := watch.NewStopRecorder(&s, "north", "stock-0").Load(t.Context())
		if diff := cmp.Diff(2, len(got.Stops())); diff != "" {
			t.Error(diff, got, err)
		}
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
}
