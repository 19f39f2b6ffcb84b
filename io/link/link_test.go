package link_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/io/link"
	"anvilstand/io/wire"
)

const (
	secret   = "peer-secret"
	recorded = model.Incarnation(5)
)

// registry records one process at every address and keeps what it is told.
type registry struct {
	mu    sync.Mutex
	found []string
	told  chan struct{}
}

func (r *registry) Recorded(string) model.Incarnation { return recorded }

func (r *registry) Ended(_ string, process model.Incarnation, e fleet.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if process != recorded {
		r.found = append(r.found, "wrong process")
	}
	switch e := e.(type) {
	case fleet.Refused:
		r.found = append(r.found, "refused")
	case fleet.Replaced:
		r.found = append(r.found, "replaced")
		if e.By() != 7 {
			r.found = append(r.found, "by another")
		}
	}
	select {
	case r.told <- struct{}{}:
	default:
	}
}

func (r *registry) first() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.found) == 0 {
		return ""
	}
	return r.found[0]
}

func TestEvidence(t *testing.T) {
	accept := func(born model.Incarnation) func(*testing.T, chan peer.Envelope) string {
		return func(t *testing.T, got chan peer.Envelope) string {
			s := httptest.NewServer(link.Accept(born, secret, hclog.NewNullLogger(), func(_ context.Context, p peer.Envelope) error {
				got <- p
				return nil
			}))
			t.Cleanup(s.Close)
			return s.Listener.Addr().String()
		}
	}
	cases := map[string]struct {
		open func(*testing.T, chan peer.Envelope) string
		want string
		took bool
	}{
		"the recorded process answers": {open: accept(recorded), took: true},
		"another process answers":      {open: accept(7), want: "replaced", took: true},
		"the connection is refused": {want: "refused", open: func(t *testing.T, _ chan peer.Envelope) string {
			ln := listen(t)
			_ = ln.Close()
			return ln.Addr().String()
		}},
		"nobody answers in time": {open: func(t *testing.T, _ chan peer.Envelope) string {
			ln := listen(t)
			t.Cleanup(func() { _ = ln.Close() })
			return ln.Addr().String()
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := &registry{told: make(chan struct{}, 1)}
			got := make(chan peer.Envelope, 1)
			address := tc.open(t, got)
			ctx, stop := context.WithCancel(context.Background())
			g, ctx := errgroup.WithContext(ctx)
			self := fleet.NewMember("a-1", "north", "a", "127.0.0.1:1").WithIncarnation(9)
			l := link.New(ctx, g, wire.TCP{}, self, secret, hclog.NewNullLogger(), r)
			l.Send(address, peer.NewHeartbeat(3, 0, 0))
			await(t, tc.took, tc.want != "", got, r.told)
			stop()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(tc.want, r.first()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// await waits for a message and for evidence, or for the time in which a link
// gives up.
func await(t *testing.T, took, told bool, got chan peer.Envelope, evidence chan struct{}) {
	t.Helper()
	if !took && !told {
		time.Sleep(3 * time.Second)
		return
	}
	if told {
		<-evidence
	}
	if took {
		p := <-got
		if diff := cmp.Diff(model.Incarnation(9), p.From()); diff != "" {
			t.Error(diff)
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}
