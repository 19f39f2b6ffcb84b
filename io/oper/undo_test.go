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

// TestTell gives commands one after the other to one daemon.
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
		"01 a change":                     {"op1", 0, first, http.StatusOK, 1, 1},
		"02 the same operation again":     {"op1", 0, first, http.StatusOK, 1, 1},
		"03 its name for another command": {"op1", 1, second, http.StatusBadRequest, 0, 1},
		"04 another change":               {"op2", 1, second, http.StatusOK, 2, 5},
		"05 the first again, later":       {"op1", 0, first, http.StatusOK, 1, 5},
		"06 a revision that is past":      {"op3", 1, "drop org a", http.StatusConflict, 2, 5},
		"07 a revision to come":           {"op3", 9, "drop org a", http.StatusBadRequest, 0, 5},
		"08 a change that does not apply": {"op3", 2, "drop org b", http.StatusBadRequest, 0, 5},
		"09 undo":                         {"op4", 2, "undo 1", http.StatusOK, 3, 1},
		"10 the undo again":               {"op4", 2, "undo 1", http.StatusOK, 3, 1},
		"11 undo of what is in force":     {"op5", 3, "undo 1", http.StatusBadRequest, 0, 1},
		"12 undo of the undo":             {"op6", 3, "undo 2", http.StatusOK, 4, 5},
		"13 undo of everything but it":    {"op7", 4, "undo 0", http.StatusOK, 5, 0},
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		g, ctx := errgroup.WithContext(ctx)
		d := newTestDaemon(ctx, t, g, &fake.Stand{}, 0)
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
