package spread

import (
	"slices"
	"testing"
)

func TestTree(t *testing.T) {
	cases := map[string]struct{ count int }{
		"alone": {1}, "pair": {2}, "one level": {34}, "two levels": {400}, "failure domain of the target size": {1118},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for place := range tc.count {
				checkPlace(t, place, tc.count)
			}
		})
	}
}

// checkPlace checks that both parents of a place feed it, that they come before
// it, and that nobody is fed by more than three levels.
func checkPlace(t *testing.T, place, count int) {
	t.Helper()
	first, second, ok := parents(place)
	if ok != (place >= Watchers) {
		t.Fatalf("place %d has parents: %v", place, ok)
	}
	if !ok {
		return
	}
	if first >= place || first == second {
		t.Errorf("place %d has parents %d, %d", place, first, second)
	}
	if !slices.Contains(children(first, count), place) || !slices.Contains(fed(first, count), place) {
		t.Errorf("place %d is not fed by its first parent %d", place, first)
	}
	if second < count && !slices.Contains(fed(second, count), place) {
		t.Errorf("place %d is not fed by its second parent %d", place, second)
	}
	if n := len(fed(place, count)); n > 3*FanOut {
		t.Errorf("place %d feeds %d", place, n)
	}
	depth := 0
	for up := first; up >= Watchers; up, _, _ = parents(up) {
		depth++
	}
	if depth > 2 {
		t.Errorf("place %d is %d levels deep", place, depth)
	}
}
