package daemon_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
)

// stops is the number of planned stops in TestPlannedStops.
var stops = flag.Int("stops", 4, "planned stops under load")

// loadClient sends requests and counts how they end.
type loadClient struct {
	mu       sync.Mutex
	fleet    *testFleet
	complete int
	broken   []string
	lastID   atomic.Uint64
}

// send sends one request to one of the addresses in turn. The daemon there may
// have stopped.
func (l *loadClient) send(client *http.Client, addresses []string) {
	n := l.lastID.Add(1)
	address := addresses[n%uint64(len(addresses))]
	text := fmt.Sprint("body ", n)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/stock/orders", strings.NewReader(text))
	if err != nil {
		return
	}
	req.GetBody = nil
	req.Header.Set("Key", orgKey)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		l.record(err, fmt.Sprint(" after ", time.Since(start)))
		return
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		l.record(err, fmt.Sprint(" after ", time.Since(start), ", request ", resp.Header.Get("Request")))
	case resp.StatusCode == http.StatusOK && string(got) != text:
		l.record(errors.New("wrong response body"), string(got))
	case resp.StatusCode != http.StatusOK && !strings.Contains(string(got), `"run":"not"`):
		l.record(errors.New("neither status 200 nor a refusal with run not"), string(got))
	default:
		l.record(nil, "")
	}
}

// record counts how a request ended. A failed dial is not counted as broken, as no
// request was sent.
func (l *loadClient) record(err error, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var op *net.OpError
	if err == nil {
		l.complete++
	} else if !errors.As(err, &op) || op.Op != "dial" {
		l.broken = append(l.broken, err.Error()+text)
	}
}

// TestPlannedStops stops daemons one by one under load and starts new ones in their
// place. Each daemon takes requests from callers and from its peers. Every request
// must get a complete response or a refusal that says that it did not run.
func TestPlannedStops(t *testing.T) {
	f := newFleet(t)
	target := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		time.Sleep(20 * time.Millisecond)
		_, _ = w.Write(text[:1])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
		_, _ = w.Write(text[1:])
	})
	const settings = `, "settle": 1, "grace": 120, "deadline": 60`
	daemons := []*testDaemon{f.add("stock-north-0", target, settings), f.add("stock-north-1", target, settings), f.add("stock-north-2", target, settings)}
	f.configure(daemons[0])
	l := &loadClient{fleet: f}
	for i := range *stops {
		ctx, cancel := context.WithCancel(t.Context())
		g := &errgroup.Group{}
		addresses := []string{daemons[0].FrontAddress(), daemons[1].FrontAddress(), daemons[2].FrontAddress()}
		for range 12 {
			client := &http.Client{Transport: &http.Transport{}}
			g.Go(func() error {
				defer client.CloseIdleConnections()
				for ctx.Err() == nil {
					l.send(client, addresses)
				}
				return nil
			})
		}
		time.Sleep(100 * time.Millisecond)
		old := daemons[i%3]
		old.stop()
		<-old.done
		cancel()
		_ = g.Wait()
		delete(f.daemons, string(old.Loop().View().Self().Name()))
		name := fmt.Sprintf("stock-north-%d", i+3)
		daemons[i%3] = f.add(name, target, settings)
		f.await(func(d *testDaemon) bool { return knowsAll(d, f) && d.hasTokens() })
	}
	t.Logf("%d stops, %d complete responses or refusals, %d broken", *stops, l.complete, len(l.broken))
	if len(l.broken) > 0 || l.complete == 0 {
		t.Error(len(l.broken), l.broken[:min(5, len(l.broken))])
	}
}

// knowsAll reports whether a daemon knows all daemons of the fleet as serving.
func knowsAll(d *testDaemon, f *testFleet) bool {
	known := map[model.Instance]bool{}
	for _, m := range d.Loop().View().Serving("stock") {
		known[m.Name()] = true
	}
	for name := range f.daemons {
		if !known[model.Instance(name)] {
			return false
		}
	}
	return true
}

// A target that answers with the Drain header must get no further requests, and
// refusals must say that the request did not run.
func TestDrainingTarget(t *testing.T) {
	f := newFleet(t)
	entry := f.add("entry-north-1", notFound(), "")
	var draining atomic.Bool
	var before, after atomic.Int32
	f.add("stock-north-1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if draining.Load() {
			after.Add(1)
			w.Header().Set("Drain", "true")
			return
		}
		before.Add(1)
	}), "")
	f.add("stock-north-2", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), "")
	f.configure(entry)
	for range 60 {
		if resp, text, err := entry.do(t.Context(), http.MethodPost, "/stock/orders", nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(text, err)
		}
	}
	draining.Store(true)
	refused := 0
	for range 40 {
		resp, text, err := entry.do(t.Context(), http.MethodPost, "/stock/orders", nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK {
			refused++
			if !strings.Contains(text, `"reason":"leaving","run":"not"`) {
				t.Error(text)
			}
			if resp.Header.Get("Drain") != "" {
				t.Error("the target's Drain header reached the caller")
			}
		}
	}
	if before.Load() == 0 || after.Load() != 1 {
		t.Errorf("%d requests before the drain, want some; %d during it, want 1; %d refused", before.Load(), after.Load(), refused)
	}
}
