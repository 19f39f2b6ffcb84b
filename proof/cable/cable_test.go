package cable_test

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

	"anvilstand/proof/cable"
)

// serve runs an HTTP server that answers the path, at 10.0.0.1:80.
func serve(t *testing.T, c *cable.Cable, g *errgroup.Group) {
	t.Helper()
	ln, err := c.Host("10.0.0.1").Listen("10.0.0.1:80")
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

// outcome is how a request ended, and when.
func outcome(caller *http.Client) string {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.0.0.1/a", http.NoBody)
	began := time.Now()
	w, err := caller.Do(r)
	if err != nil {
		return fmt.Sprint("failed after ", time.Since(began))
	}
	defer w.Body.Close()
	text, _ := io.ReadAll(w.Body)
	return fmt.Sprint(string(text), " after ", time.Since(began))
}

func TestFaults(t *testing.T) {
	const here, there = "10.0.0.2", "10.0.0.1"
	answerOnly := func(act cable.Act) cable.Tap {
		return func(w cable.Write) cable.Act {
			if w.From() == there {
				return act
			}
			return nil
		}
	}
	cases := map[string]struct {
		fault func(c *cable.Cable)
		want  []string
	}{
		"well":         {fault: func(*cable.Cable) {}, want: []string{"/a after 2ms", "/a after 2ms"}},
		"cut":          {fault: func(c *cable.Cable) { c.Cut(here, there) }, want: []string{"failed after 3s", "failed after 1s"}},
		"cut back":     {fault: func(c *cable.Cable) { c.Cut(there, here) }, want: []string{"failed after 3s", "failed after 1s"}},
		"cut and heal": {fault: func(c *cable.Cable) { c.Cut(there, here); time.AfterFunc(time.Second, func() { c.Heal(there, here) }) }, want: []string{"/a after 1s", "/a after 2ms"}},
		"silent":       {fault: func(c *cable.Cable) { c.Silence(here, there) }, want: []string{"failed after 3s", "/a after 4ms"}},
		"slow":         {fault: func(c *cable.Cable) { c.Slow(there, here, time.Second) }, want: []string{"/a after 1.001s", "/a after 1.001s"}},
		"lost answer":  {fault: func(c *cable.Cable) { c.SetTap(answerOnly(cable.Swallow{})) }, want: []string{"failed after 3s", "failed after 3s"}},
		"late answer":  {fault: func(c *cable.Cable) { c.SetTap(answerOnly(cable.NewLate(time.Second))) }, want: []string{"/a after 1.002s", "/a after 1.002s"}},
		"reset":        {fault: func(c *cable.Cable) { c.SetTap(answerOnly(cable.Break{})) }, want: []string{"failed after 4ms", "failed after 3ms"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &cable.Cable{}
				c.SetDelay(time.Millisecond)
				var g errgroup.Group
				serve(t, c, &g)
				caller := &http.Client{Transport: &http.Transport{DialContext: c.Host(here).DialContext, DisableCompression: true}}
				if diff := cmp.Diff("/a after 4ms", outcome(caller)); diff != "" {
					t.Fatal(diff)
				}
				tc.fault(c)
				got := []string{outcome(caller), outcome(caller)}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Error(diff)
				}
				c.Close()
				_ = g.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestFrozenHostKeepsItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cable.Cable{}
		c.SetDelay(time.Millisecond)
		var g errgroup.Group
		serve(t, c, &g)
		h := c.Host("10.0.0.2")
		caller := &http.Client{Transport: &http.Transport{DialContext: h.DialContext, DisableCompression: true}}
		_ = outcome(caller)
		h.Freeze()
		time.AfterFunc(time.Second, h.Thaw)
		if diff := cmp.Diff("/a after 1.001s", outcome(caller)); diff != "" {
			t.Error(diff)
		}
		h.Crash()
		if diff := cmp.Diff("failed after 0s", outcome(caller)); diff != "" {
			t.Error(diff)
		}
		c.Close()
		_ = g.Wait()
	})
}
