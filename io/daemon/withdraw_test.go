package daemon_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestStopRefusesWaitingRequests guards against a planned stop that ends requests which
// wait for a target without an answer. The target ends none before the daemon has
// stopped. Each request that has not reached it must be refused as not run.
func TestStopRefusesWaitingRequests(t *testing.T) {
	const (
		requests = 12 // more than the target runs at a time
		settings = `, "deadline": 60, "grace": 3`
	)
	cases := map[string]struct{ sendTo, stop string }{
		"at a peer":     {sendTo: "entry-north-1", stop: "entry-north-1"},
		"at the daemon": {sendTo: "stock-north-1", stop: "stock-north-1"},
		"for an entry":  {sendTo: "entry-north-1", stop: "stock-north-1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reached sync.Map
			release := make(chan struct{})
			f := newFleet(t)
			f.add("entry-north-1", notFound(), settings)
			f.add("stock-north-1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				reached.Store(r.URL.Path, true)
				<-release
			}), settings)
			defer close(release)
			f.configure(f.daemons["entry-north-1"])
			var g errgroup.Group
			for i := range requests {
				g.Go(func() error {
					path := "/orders/" + strings.Repeat("x", i+1)
					resp, text, err := f.daemons[tc.sendTo].do(t.Context(), http.MethodPost, "/stock"+path, nil)
					if _, ran := reached.Load(path); ran {
						return nil
					}
					if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(text, `"run":"not"`) {
						t.Error("a request that did not reach the target:", resp, text, err)
					}
					return nil
				})
			}
			time.Sleep(time.Second)
			f.daemons[tc.stop].stop()
			<-f.daemons[tc.stop].done
			_ = g.Wait()
		})
	}
}
