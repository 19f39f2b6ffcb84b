package daemon_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/io/wire"
)

// closedNetwork is TCP that opens no connection once it is closed, as towards a daemon
// whose listeners ignore new ones.
type closedNetwork struct {
	wire.TCP
	closed *atomic.Bool
}

func (n closedNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if n.closed.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.TCP.DialContext(ctx, network, address)
}

// TestStopRefusesWaitingRequests guards against a planned stop that ends requests without
// an answer, of which some wait for a target. The target ends none before the daemon has
// stopped. Each request that has not reached it must be refused as not run, unless the
// peer in whose queue it waits can't be asked.
func TestStopRefusesWaitingRequests(t *testing.T) {
	const (
		requests = 12 // more than the target runs at a time
		settings = `, "deadline": 60, "grace": 3`
	)
	cases := map[string]struct {
		sendTo, stop string
		closed       bool // the daemon can't open connections to peers
	}{
		"at a peer":                     {sendTo: "entry-north-1", stop: "entry-north-1"},
		"at the daemon":                 {sendTo: "stock-north-1", stop: "stock-north-1"},
		"for an entry":                  {sendTo: "entry-north-1", stop: "stock-north-1"},
		"at a peer that can't be asked": {sendTo: "entry-north-1", stop: "entry-north-1", closed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reached, notRun sync.Map
			release := make(chan struct{})
			f := newFleet(t)
			var closed atomic.Bool
			f.addOnNetwork("entry-north-1", "http://127.0.0.1:1", settings, closedNetwork{closed: &closed})
			f.add("stock-north-1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				reached.Store(r.URL.Path, true)
				<-release
			}), settings)
			f.configure(f.daemons["entry-north-1"])
			var g errgroup.Group
			for i := range requests {
				g.Go(func() error {
					path := "/orders/" + strings.Repeat("x", i+1)
					resp, text, err := f.daemons[tc.sendTo].do(t.Context(), http.MethodPost, "/stock"+path, nil)
					if err != nil {
						t.Error("no answer:", err)
						return nil
					}
					if _, ran := reached.Load(path); ran {
						return nil
					}
					refused := resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(text, `"run":"not"`)
					unknown := resp.StatusCode == http.StatusBadGateway && strings.Contains(text, `"run":"unknown"`)
					if refused {
						notRun.Store(path, true)
					}
					if !refused && (!unknown || !tc.closed) {
						t.Error("a request that did not reach the target:", resp.StatusCode, text)
					}
					return nil
				})
			}
			time.Sleep(time.Second)
			closed.Store(tc.closed)
			f.daemons[tc.stop].stop()
			<-f.daemons[tc.stop].done
			_ = g.Wait()
			close(release)
			time.Sleep(200 * time.Millisecond) // whatever still waits would run now
			notRun.Range(func(path, _ any) bool {
				if _, ran := reached.Load(path); ran {
					t.Errorf("%v was refused as not run and ran", path)
				}
				return true
			})
		})
	}
}
