package spread

import (
	"slices"
	"testing"
)

func TestTree(t *testing.T) {
	cases := map[string]struct{ count int }{
		"alone": {1}, "pair": {2}, "one level": {34}, "two levels": {400}, "planned size of a failure domain": {1118},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for position := range tc.count {
				checkPosition(t, position, tc.count)
			}
		})
	}
}

// checkPosition checks that both parents of a position forward to it, that the
// first one comes before it, that a position forwards to at most 3*FanOut
// others, and that it is at most two levels below the watchers' children.
func checkPosition(t *testing.T, position, count int) {
	t.Helper()
	first, second, ok := parents(position)
	if ok != (position >= WatchersPerDomain) {
		t.Fatalf("position %d has parents: %v", position, ok)
	}
	if !ok {
		return
	}
	if first >= position || first == second {
		t.Errorf("position %d has parents %d, %d", position, first, second)
	}
	if !slices.Contains(children(first, count), position) || !slices.Contains(receivers(first, count), position) {
		t.Errorf("first parent %[2]d does not forward to position %[1]d", position, first)
	}
	if second < count && !slices.Contains(receivers(second, count), position) {
		t.Errorf("second parent %[2]d does not forward to position %[1]d", position, second)
	}
	if n := len(receivers(position, count)); n > 3*FanOut {
		t.Errorf("position %d forwards to %d members", position, n)
	}
	depth := 0
	for up := first; up >= WatchersPerDomain; up, _, _ = parents(up) {
		depth++
	}
	if depth > 2 {
		t.Errorf("position %d is %d levels below the watchers' children", position, depth)
	}
}
