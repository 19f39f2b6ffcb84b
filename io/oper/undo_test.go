package oper_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/io/fake"
)

// TestTell sends commands in the order of their names to one daemon.
func TestTell(t *testing.T) {
	const first, second = "add org a rate 1 burst 1; grant a key secret-key-1", "set org a rate 5; withdraw key secret-key-1; grant a key secret-key-2"
	steps := map[string]struct {
		op       string
		expected model.Revision
		text     string
		status   int
		revision model.Revision
		rate     float64
	}{
		"01 change":                           {"op1", 0, first, http.StatusOK, 1, 1},
		"02 same operation repeated":          {"op1", 0, first, http.StatusOK, 1, 1},
		"03 same operation ID, other command": {"op1", 1, second, http.StatusBadRequest, 0, 1},
		"04 another change":                   {"op2", 1, second, http.StatusOK, 2, 5},
		"05 first repeated later":             {"op1", 0, first, http.StatusOK, 1, 5},
		"06 past revision":                    {"op3", 1, "drop org a", http.StatusConflict, 2, 5},
		"07 future revision":                  {"op3", 9, "drop org a", http.StatusBadRequest, 0, 5},
		"08 change that does not apply":       {"op3", 2, "drop org b", http.StatusBadRequest, 0, 5},
		"09 undo":                             {"op4", 2, "undo 1", http.StatusOK, 3, 1},
		"10 undo repeated":                    {"op4", 2, "undo 1", http.StatusOK, 3, 1},
		"11 undo without effect":              {"op5", 3, "undo 1", http.StatusBadRequest, 0, 1},
		"12 undo of the undo":                 {"op6", 3, "undo 2", http.StatusOK, 4, 5},
		"13 undo to revision 0":               {"op7", 4, "undo 0", http.StatusOK, 5, 0},
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		g, ctx := errgroup.WithContext(ctx)
		d := newTestDaemon(ctx, t, g, &fake.Store{}, 0)
		time.Sleep(5 * time.Second)
		for _, name := range sortedKeys(steps) {
			tc := steps[name]
			status, rev := d.tell(tc.op, tc.expected, tc.text)
			o, _ := d.loop.View().Config().Org("a")
			if diff := cmp.Diff([]any{tc.status, tc.revision, tc.rate}, []any{status, rev, o.Rate()}); diff != "" {
				t.Error(name, diff)
			}
		}
		stop()
		_ = g.Wait()
	})
}
