package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case.
const (
	// fullHolders is the number of clients that keep a connection.
	fullHolders = 1800
	// fullPause is the time between two requests of such a client. It is below four
	// fifths of the idle timeout of the configuration, 15 s.
	fullPause  = 10 * time.Second
	fullFor    = 40 * time.Second
	fullOthers = 8 // ordinary clients
	// fullContact and fullClients are the bounds of the rule.
	fullContact = 3 * time.Second
	fullClients = 7
)

// playFull has many clients keep connections to one machine, each with a request now and
// then, while ordinary ones open new connections there.
func playFull(ctx context.Context, g *errgroup.Group, f *fleet, trouble bool) (outcome, error) {
	n, err := f.add("m1", "z1", "estoque")
	if err != nil {
		return cannot, err
	}
	e := &endpoint{rec: f.rec, node: n, id: "i-m1", slots: 145}
	e.handle = func(e *endpoint, w http.ResponseWriter, r *http.Request, _ []byte) {
		e.answer(w, r.Header.Get("X-Attempt-Id"), []byte("done"))
	}
	g.Go(func() error { return e.run(ctx) })
	f.configure([]route{{prefix: "/estoque/", kind: "idempotent", service: "estoque", timeout: "2000ms"}}, nil)
	if err := f.start(ctx, g); err != nil {
		return cannot, err
	}
	sleep(ctx, 3*time.Second)
	holdCtx, end := context.WithCancel(ctx)
	defer end()
	var holders errgroup.Group
	var open atomic.Int64
	if trouble {
		for i := range fullHolders {
			holders.Go(func() error { return f.hold(holdCtx, n, i, &open) })
			sleep(ctx, time.Millisecond)
		}
		sleep(ctx, 2*time.Second)
	}
	f.rec.add("%d clients keep a connection", open.Load())
	return f.watchNew(ctx, n), ctx.Err()
}

// hold keeps a connection of one client, with a request each fullPause.
func (f *fleet) hold(ctx context.Context, n *node, i int, open *atomic.Int64) error {
	c, err := dial(n.front)
	if err != nil {
		return err
	}
	defer c.close()
	for k := 0; ctx.Err() == nil; k++ {
		a := c.do(request{method: http.MethodGet, path: "/estoque/k", id: fmt.Sprintf("h%x.%x", i, k), limit: 2 * time.Second})
		if !a.isServed() {
			f.rec.add("client %d that keeps a connection: %s", i, a)
			return nil
		}
		if k == 0 {
			open.Add(1)
		}
		sleep(ctx, fullPause)
	}
	return nil
}

// watchNew has ordinary clients send requests on new connections, and tells whether in a
// span of fullContact none of at least fullClients got an answer while the daemon said that
// it was ready.
func (f *fleet) watchNew(ctx context.Context, n *node) outcome {
	var answered, tried, unready atomic.Int64
	lastAnswer := time.Now()
	var longest time.Duration
	result := held
	for end := time.Now().Add(fullFor); time.Now().Before(end) && ctx.Err() == nil; {
		before := answered.Load()
		var g errgroup.Group
		for i := range fullOthers {
			g.Go(func() error {
				q := request{method: http.MethodGet, path: "/estoque/x", id: fmt.Sprintf("o%x.%x", tried.Add(1), i), limit: 2 * time.Second}
				a := n.once(q)
				f.rec.add("client id=%s on a new connection: %s", q.id, a)
				if a.status != 0 {
					answered.Add(1)
				}
				return nil
			})
		}
		if !n.isReady(ctx) {
			unready.Add(1)
		}
		_ = g.Wait()
		if answered.Load() > before {
			lastAnswer = time.Now()
			sleep(ctx, 500*time.Millisecond)
		}
		longest = max(longest, time.Since(lastAnswer))
	}
	f.rec.add("RECOVER: %d of %d new connections got an answer; the longest span without any was %s; not ready %d times", answered.Load(), tried.Load(), longest, unready.Load())
	if longest > fullContact && fullOthers >= fullClients && unready.Load() == 0 {
		result = broken
	}
	return result
}
