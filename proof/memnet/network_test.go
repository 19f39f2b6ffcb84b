package memnet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"anvilstand/proof/memnet"
)

// serve runs an HTTP server at 10.0.0.1:80 that answers with the path of the
// request.
func serve(t *testing.T, n *memnet.Network, g *errgroup.Group) {
	t.Helper()
	ln, err := n.Host("10.0.0.1").Listen("10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.URL.Path)
	})}
	g.Go(func() error {
		_ = s.Serve(ln)
		return nil
	})
}

// fetch sends a request and returns how it ended, and after which time.
func fetch(caller *http.Client) string {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.0.0.1/a", http.NoBody)
	start := time.Now()
	w, err := caller.Do(r)
	if err != nil {
		return fmt.Sprint("failed after ", time.Since(start))
	}
	defer w.Body.Close()
	text, _ := io.ReadAll(w.Body)
	return fmt.Sprint(string(text), " after ", time.Since(start))
}

func TestFaults(t *testing.T) {
	const near, far = "10.0.0.2", "10.0.0.1"
	onAnswer := func(action memnet.Action) memnet.Tap {
		return func(w memnet.Write) memnet.Action {
			if w.From() == far {
				return action
			}
			return nil
		}
	}
	cases := map[string]struct {
		fault func(n *memnet.Network)
		want  []string
	}{
		"no fault":       {fault: func(*memnet.Network) {}, want: []string{"/a after 2ms", "/a after 2ms"}},
		"cut":            {fault: func(n *memnet.Network) { n.Cut(near, far) }, want: []string{"failed after 3s", "failed after 1s"}},
		"reverse cut":    {fault: func(n *memnet.Network) { n.Cut(far, near) }, want: []string{"failed after 3s", "failed after 1s"}},
		"cut and heal":   {fault: func(n *memnet.Network) { n.Cut(far, near); time.AfterFunc(time.Second, func() { n.Heal(far, near) }) }, want: []string{"/a after 1s", "/a after 2ms"}},
		"refused":        {fault: func(n *memnet.Network) { n.Refuse(func(ip string) bool { return ip == near }, true) }, want: []string{"failed after 0s", "failed after 0s"}},
		"blackhole":      {fault: func(n *memnet.Network) { n.Blackhole(near, far) }, want: []string{"failed after 3s", "/a after 4ms"}},
		"delayed link":   {fault: func(n *memnet.Network) { n.SetLinkDelay(far, near, time.Second) }, want: []string{"/a after 1.001s", "/a after 1.001s"}},
		"lost answer":    {fault: func(n *memnet.Network) { n.SetTap(onAnswer(memnet.Blackhole{})) }, want: []string{"failed after 3s", "failed after 3s"}},
		"delayed answer": {fault: func(n *memnet.Network) { n.SetTap(onAnswer(memnet.NewDelay(time.Second))) }, want: []string{"/a after 1.002s", "/a after 1.002s"}},
		"reset":          {fault: func(n *memnet.Network) { n.SetTap(onAnswer(memnet.Reset{})) }, want: []string{"failed after 4ms", "failed after 3ms"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &memnet.Network{}
				n.SetDelay(time.Millisecond)
				var g errgroup.Group
				serve(t, n, &g)
				caller := &http.Client{Transport: &http.Transport{DialContext: n.Host(near).DialContext, DisableCompression: true}}
				if diff := cmp.Diff("/a after 4ms", fetch(caller)); diff != "" {
					t.Fatal(diff)
				}
				tc.fault(n)
				got := []string{fetch(caller), fetch(caller)}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Error(diff)
				}
				n.Close()
				_ = g.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestFrozenHostKeepsItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &memnet.Network{}
		n.SetDelay(time.Millisecond)
		var g errgroup.Group
		serve(t, n, &g)
		h := n.Host("10.0.0.2")
		caller := &http.Client{Transport: &http.Transport{DialContext: h.DialContext, DisableCompression: true}}
		_ = fetch(caller)
		h.Freeze()
		time.AfterFunc(time.Second, h.Thaw)
		if diff := cmp.Diff("/a after 1.001s", fetch(caller)); diff != "" {
			t.Error(diff)
		}
		h.Crash()
		if diff := cmp.Diff("failed after 0s", fetch(caller)); diff != "" {
			t.Error(diff)
		}
		n.Close()
		_ = g.Wait()
	})
}
