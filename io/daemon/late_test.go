package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/form"
)

// lateResult is the outcome of a request that a daemon gets late in a planned stop.
type lateResult struct {
	status  int
	refusal string // up to the wait, which is random
	reached int32  // how often it reached its target
}

// TestStopRefusesLateRequests guards against a planned stop that passes on a request which
// may still run when the stop ends, and then breaks it off at its target: a call of a
// running request, or a request whose body arrives late. A call that must end in time is
// served.
func TestStopRefusesLateRequests(t *testing.T) {
	const (
		settings = `, "deadline": 60, "grace": 4` // requests are ended after 3.6 s
		sentAt   = 2 * time.Second                // from the start of the stop on
		longWork = 1800 * time.Millisecond        // ends after the stop
	)
	refused := lateResult{status: http.StatusServiceUnavailable, refusal: `{"reason":"leaving","run":"not"`}
	served := lateResult{status: http.StatusOK, reached: 1}
	cases := map[string]struct {
		deadline string // in milliseconds
		early    bool   // only the body is late, and the request is no call
		work     time.Duration
		want     lateResult
	}{
		"call that would outlast the stop": {deadline: "2500", work: longWork, want: refused},
		"call that could outlast the stop": {deadline: "2500", want: refused},
		"call without a time limit":        {want: refused},
		"call that ends before the stop":   {deadline: "1000", want: served},
		"late body":                        {deadline: "8000", early: true, work: longWork, want: refused},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reached atomic.Int32
			f := newFleet(t)
			f.add("stock-north-1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				reached.Add(1)
				time.Sleep(tc.work)
			}), settings)
			stopped, tokens, release := f.addHolding(settings)
			f.configure(stopped)
			var g errgroup.Group
			g.Go(func() error {
				_, _, err := stopped.do(context.Background(), http.MethodGet, "/entry/warm/held", nil)
				return err
			})
			token := <-tokens
			kept, err := net.Dial("tcp", stopped.FrontAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer kept.Close()
			head := "POST /stock/orders HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
			if tc.deadline != "" {
				head += "Deadline: " + tc.deadline + "\r\n"
			}
			if tc.early {
				_, _ = fmt.Fprintf(kept, "%sKey: %s\r\n\r\n", head, orgKey)
			}
			time.Sleep(100 * time.Millisecond) // the daemon reads the head
			stopped.stop()
			time.Sleep(sentAt)
			if !tc.early {
				_, _ = fmt.Fprintf(kept, "%s%s: %s\r\n\r\n", head, form.HeaderCall, token)
			}
			_, _ = io.WriteString(kept, "body")
			got := readLateResult(t, kept)
			got.reached = reached.Load()
			if diff := cmp.Diff(tc.want, got, cmp.AllowUnexported(lateResult{})); diff != "" {
				t.Error(diff)
			}
			close(release)
			if err := g.Wait(); err != nil {
				t.Error("the running request:", err)
			}
			<-stopped.done
		})
	}
}

// addHolding adds a daemon whose target holds requests at /warm/held until release is
// closed. The channel gets the token of each.
func (f *testFleet) addHolding(settings string) (d *testDaemon, tokens chan string, release chan struct{}) {
	tokens, release = make(chan string, 1), make(chan struct{})
	d = f.add("entry-north-1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm/held" {
			tokens <- r.Header.Get(form.HeaderCall)
			<-release
		}
	}), settings)
	return d, tokens, release
}

// readLateResult reads the response of a daemon.
func readLateResult(t *testing.T, conn net.Conn) lateResult {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	got := lateResult{status: resp.StatusCode}
	if resp.Header.Get(form.HeaderRefusal) != "" {
		got.refusal, _, _ = strings.Cut(string(body), `,"wait"`)
	}
	return got
}
