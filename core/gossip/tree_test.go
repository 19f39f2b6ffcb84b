package gossip

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
			for index := range tc.count {
				checkIndex(t, index, tc.count)
			}
		})
	}
}

// checkIndex checks that both parents of the member at index forward to it,
// that the first one comes before it, that it forwards to at most 3*FanOut
// others, and that it is at most two levels below the watchers' children.
func checkIndex(t *testing.T, index, count int) {
	t.Helper()
	first, second, ok := parents(index)
	if ok != (index >= WatchersPerDomain) {
		t.Fatalf("index %d has parents: %v", index, ok)
	}
	if !ok {
		return
	}
	if first >= index || first == second {
		t.Errorf("index %d has parents %d, %d", index, first, second)
	}
	if !slices.Contains(children(first, count), index) || !slices.Contains(receivers(first, count), index) {
		t.Errorf("first parent %[2]d does not forward to index %[1]d", index, first)
	}
	if second < count && !slices.Contains(receivers(second, count), index) {
		t.Errorf("second parent %[2]d does not forward to index %[1]d", index, second)
	}
	if n := len(receivers(index, count)); n > 3*FanOut {
		t.Errorf("index %d forwards to %d members", index, n)
	}
	depth := 0
	for up := first; up >= WatchersPerDomain; up, _, _ = parents(up) {
		depth++
	}
	if depth > 2 {
		t.Errorf("index %d is %d levels below the watchers' children", index, depth)
	}
}
