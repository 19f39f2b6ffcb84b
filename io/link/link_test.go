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

// registry has one process recorded at every address, and collects the evidence
// that is reported.
type registry struct {
	mu       sync.Mutex
	evidence []string
	reported chan struct{}
}

func (r *registry) RecordedProcess(string) model.Incarnation { return recorded }

func (r *registry) ReportEnded(_ string, ended model.Incarnation, e fleet.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ended != recorded {
		r.evidence = append(r.evidence, "of another process")
	}
	switch e := e.(type) {
	case fleet.Refused:
		r.evidence = append(r.evidence, "refused")
	case fleet.Replaced:
		r.evidence = append(r.evidence, "replaced")
		if e.By() != 7 {
			r.evidence = append(r.evidence, "by the wrong process")
		}
	}
	select {
	case r.reported <- struct{}{}:
	default:
	}
}

func (r *registry) first() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.evidence) == 0 {
		return ""
	}
	return r.evidence[0]
}

// TestEvidence checks that a link reports evidence of the end of the recorded
// process when its address refuses the connection or another process answers, and
// none when there is just no answer.
func TestEvidence(t *testing.T) {
	accept := func(incarnation model.Incarnation) func(*testing.T, chan peer.Envelope) string {
		return func(t *testing.T, got chan peer.Envelope) string {
			s := httptest.NewServer(link.Accept(incarnation, secret, hclog.NewNullLogger(), func(_ context.Context, e peer.Envelope) error {
				got <- e
				return nil
			}))
			t.Cleanup(s.Close)
			return s.Listener.Addr().String()
		}
	}
	cases := map[string]struct {
		listen    func(*testing.T, chan peer.Envelope) string
		want      string
		delivered bool
	}{
		"the recorded process answers": {listen: accept(recorded), delivered: true},
		"another process answers":      {listen: accept(7), want: "replaced", delivered: true},
		"the connection is refused": {want: "refused", listen: func(t *testing.T, _ chan peer.Envelope) string {
			ln := listen(t)
			_ = ln.Close()
			return ln.Addr().String()
		}},
		"no answer in time": {listen: func(t *testing.T, _ chan peer.Envelope) string {
			ln := listen(t)
			t.Cleanup(func() { _ = ln.Close() })
			return ln.Addr().String()
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := &registry{reported: make(chan struct{}, 1)}
			got := make(chan peer.Envelope, 1)
			address := tc.listen(t, got)
			ctx, cancel := context.WithCancel(context.Background())
			g, ctx := errgroup.WithContext(ctx)
			self := fleet.NewMember("a-1", "north", "a", "127.0.0.1:1").WithIncarnation(9)
			l := link.New(ctx, g, wire.TCP{}, self, secret, hclog.NewNullLogger(), r)
			l.Send(address, peer.NewHeartbeat(3, 0, 0))
			await(t, tc.delivered, tc.want != "", got, r.reported)
			cancel()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(tc.want, r.first()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// await waits for a message and for evidence as expected. If neither is, it waits
// until a dial has timed out, so that evidence reported wrongly shows.
func await(t *testing.T, delivered, reported bool, got chan peer.Envelope, evidence chan struct{}) {
	t.Helper()
	if !delivered && !reported {
		time.Sleep(3 * time.Second)
		return
	}
	if reported {
		<-evidence
	}
	if delivered {
		e := <-got
		if diff := cmp.Diff(model.Incarnation(9), e.Incarnation()); diff != "" {
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
