package watch_test

import (
	"fmt"
	"testing"

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
				for _, s := range got {
					starts = append(starts, s.ProcessStarted())
				}
				if diff := cmp.Diff(want, starts); diff != "" {
					t.Error(name, diff)
				}
			}
		})
	}
}
