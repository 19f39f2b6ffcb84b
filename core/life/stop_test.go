package life_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/life"
	"anvilstand/core/model"
)

// TestAddRecord checks which records are kept when one is added.
func TestAddRecord(t *testing.T) {
	now := time.Unix(100_000, 0)
	record := func(name model.Instance, age time.Duration) life.RecordedStop {
		return life.NewRecordedStop(name, life.NewStop("i-"+string(name), 1000), now.Add(-age))
	}
	cases := map[string]struct {
		before []life.RecordedStop
		want   []model.Instance
	}{
		"first":            {want: []model.Instance{"new"}},
		"among others":     {before: []life.RecordedStop{record("a", time.Minute), record("b", time.Second)}, want: []model.Instance{"a", "b", "new"}},
		"too old":          {before: []life.RecordedStop{record("a", 10*time.Minute)}, want: []model.Instance{"new"}},
		"by another clock": {before: []life.RecordedStop{record("a", -time.Minute)}, want: []model.Instance{"new", "a"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got []model.Instance
			for _, r := range life.AddRecord(tc.before, record("new", 0)) {
				got = append(got, r.Instance())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
