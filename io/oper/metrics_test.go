package oper_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/io/fake"
	"anvilstand/io/watch"
)

// TestFaultsCounter writes a value into the store that cannot be decoded.
func TestFaultsCounter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		g, ctx := errgroup.WithContext(ctx)
		s := &fake.Store{}
		d := newTestDaemon(ctx, t, g, s, 0)
		time.Sleep(5 * time.Second)
		page := func() string {
			w := httptest.NewRecorder()
			d.handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
			return w.Body.String()
		}
		if text := page(); !strings.Contains(text, "anvilstand_faults_total 0") || !strings.Contains(text, "anvilstand_watcher 1") {
			t.Error(text)
		}
		if _, err := s.Swap(ctx, watch.EntryKey(1), 0, []byte("nonsense"), 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if text := page(); strings.Contains(text, "anvilstand_faults_total 0") {
			t.Error("faults_total is 0 after an undecodable value, want more")
		}
		stop()
		_ = g.Wait()
	})
}
