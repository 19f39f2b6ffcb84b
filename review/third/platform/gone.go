package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case.
const (
	goneSlots    = 35
	goneWork     = 2 * time.Second
	gonePatient  = 45 // clients that wait for their answers
	goneInterval = 100 * time.Millisecond
	goneStay     = 200 * time.Millisecond // of a client that leaves before its time limit
	goneFor      = 40 * time.Second
	// goneGrace and goneAllowed are the bounds of the rule: half a second, and a few.
	goneGrace   = 500 * time.Millisecond
	goneAllowed = 5
)

// departures are the times at which clients have closed their connections.
type departures struct {
	mu   sync.Mutex
	at   map[string]time.Time
	late atomic.Int64 // requests that reached an endpoint later than goneGrace after it
}

func (d *departures) note(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at[id] = time.Now()
}

// since returns how long ago a client has left, zero if it has not.
func (d *departures) since(id string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.at[id]; ok {
		return time.Since(at)
	}
	return 0
}

// playGone has clients of one machine leave before their time limit, while their orders
// wait for the busy endpoint of another.
func playGone(ctx context.Context, g *errgroup.Group, f *fleet, trouble bool) (outcome, error) {
	target, err := f.add("m1", "z1", "reembolso")
	if err != nil {
		return cannot, err
	}
	entry, err := f.add("m2", "z2", "catalogo")
	if err != nil {
		return cannot, err
	}
	left := &departures{at: map[string]time.Time{}}
	for _, n := range f.nodes {
		e := &endpoint{rec: f.rec, node: n, id: "i-" + n.name, slots: goneSlots, handle: left.handle}
		g.Go(func() error { return e.run(ctx) })
	}
	f.configure([]route{{prefix: "/reembolso/", kind: "non_idempotent", service: "reembolso", timeout: "5000ms"}}, nil)
	if err := f.start(ctx, g); err != nil {
		return cannot, err
	}
	sleep(ctx, 4*time.Second)
	loadCtx, end := context.WithTimeout(ctx, goneFor)
	defer end()
	var load errgroup.Group
	orders := &orderTally{}
	for i := range gonePatient {
		load.Go(func() error {
			f.refunds(loadCtx, target, i, orders)
			return nil
		})
	}
	sleep(ctx, 2*time.Second)
	count := 0
	for ; loadCtx.Err() == nil; count++ {
		load.Go(func() error { return f.leaveEarly(entry, count, left, trouble) })
		sleep(loadCtx, goneInterval)
	}
	_ = load.Wait()
	sleep(ctx, 3*time.Second)
	f.rec.add("%d refunds of patient clients served", orders.served.Load())
	f.rec.add("GONE: of %d clients that leave early, %d requests reached the endpoint over %s after the client had closed", count, left.late.Load(), goneGrace)
	if left.late.Load() > goneAllowed {
		return broken, nil
	}
	return held, nil
}

// handle works on a request for goneWork, unless its connection closes.
func (d *departures) handle(e *endpoint, w http.ResponseWriter, r *http.Request, _ []byte) {
	id := e.noteRun(r)
	if since := d.since(id); since > goneGrace {
		d.late.Add(1)
		e.rec.add("id=%s reaches the endpoint %s after its client has closed", id, since)
	}
	sleep(r.Context(), goneWork)
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	e.answer(w, id, []byte("done"))
}

// refunds sends the requests of one patient client until ctx ends.
func (f *fleet) refunds(ctx context.Context, n *node, client int, t *orderTally) {
	for k := 0; ctx.Err() == nil; k++ {
		q := request{method: http.MethodPost, path: "/reembolso/r", id: fmt.Sprintf("p%x.%x", client, k), limit: 5 * time.Second, body: []byte("refund")}
		if a := n.once(q); a.isServed() {
			t.served.Add(1)
		} else {
			f.rec.add("patient client id=%s: %s", q.id, a)
			sleep(ctx, 100*time.Millisecond)
		}
	}
}

// leaveEarly sends one request and closes its connection before the answer, if leaves is
// set.
func (f *fleet) leaveEarly(n *node, k int, left *departures, leaves bool) error {
	q := request{method: http.MethodPost, path: "/reembolso/r", id: fmt.Sprintf("g%x", k), limit: 5 * time.Second, body: []byte("refund")}
	c, err := dial(n.front)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.send(q); err != nil {
		return err
	}
	if !leaves {
		f.rec.add("client id=%s: %s", q.id, c.read(q))
		return nil
	}
	time.Sleep(goneStay)
	c.close()
	left.note(q.id)
	f.rec.add("client id=%s closes its connection", q.id)
	return nil
}
