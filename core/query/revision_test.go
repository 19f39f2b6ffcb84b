package query

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/model"
	"anvilstand/core/peer"
)

func TestForceState(t *testing.T) {
	cases := map[string]struct {
		daemons int
		lowest  model.Revision
		age     time.Duration
		want    string
	}{
		"all confirmed":     {4, 7, time.Second, "in force, last heard 1 s ago"},
		"one is behind":     {4, 6, time.Second, "pending, a daemon has 6, last heard 1 s ago"},
		"one is missing":    {3, 7, time.Second, "pending, 1 daemons have not confirmed, last heard 1 s ago"},
		"coverage is stale": {4, 7, 41 * time.Second, "pending, last heard 41 s ago"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := forceState(7, peer.NewCoverage(tc.daemons, tc.lowest), 4, tc.age)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
