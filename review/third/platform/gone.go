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
	goneSlots    = 193
	goneWork     = 1900 * time.Millisecond // of an order while the endpoint is slow
	goneUsual    = 160 * time.Millisecond  // after that
	gonePatient  = 260                     // clients that wait for their answers
	goneInterval = 30 * time.Millisecond
	goneStay     = 200 * time.Millisecond  // of a client that leaves before its time limit
	goneBefore   = 2500 * time.Millisecond // from the start of the load to the first that leaves
	goneFor      = 5500 * time.Millisecond // in which clients leave
	goneSlow     = 9 * time.Second         // in which the endpoint is slow
	// goneGrace and goneAllowed are the bounds of the rule: half a second, and a few.
	goneGrace   = 500 * time.Millisecond
	goneAllowed = 5
)

// departures are the times at which clients have closed their connections.
type departures struct {
	mu   sync.Mutex
	at   map[string]time.Time
	slow atomic.Bool  // the endpoints are slow
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
	target, err := f.add("m1", "z1", "pedidos")
	if err != nil {
		return cannot, err
	}
	entry, err := f.add("m2", "z2", "catalogo")
	if err != nil {
		return cannot, err
	}
	if _, err := f.add("m3", "z3", "estoque"); err != nil { // so that one endpoint of three is slow
		return cannot, err
	}
	left := &departures{at: map[string]time.Time{}}
	for _, n := range f.nodes {
		e := &endpoint{rec: f.rec, node: n, id: "i-" + n.name, slots: goneSlots, handle: left.handle}
		g.Go(func() error { return e.run(ctx) })
	}
	f.configure([]route{{prefix: "/pedidos/", kind: "non_idempotent", service: "pedidos", timeout: "5000ms"}}, nil)
	if err := f.start(ctx, g); err != nil {
		return cannot, err
	}
	sleep(ctx, 4*time.Second)
	left.slow.Store(true)
	slowEnd := time.AfterFunc(goneSlow, func() { left.slow.Store(false) })
	defer slowEnd.Stop()
	loadCtx, end := context.WithTimeout(ctx, goneSlow+time.Second)
	defer end()
	var load errgroup.Group
	tally := &orderTally{}
	for i := range gonePatient {
		load.Go(func() error {
			f.patient(loadCtx, target, i, tally)
			return nil
		})
	}
	sleep(ctx, goneBefore)
	count := 0
	for until := time.Now().Add(goneFor); time.Now().Before(until); count++ {
		load.Go(func() error { return f.leaveEarly(entry, count, left, trouble) })
		sleep(loadCtx, goneInterval)
	}
	_ = load.Wait()
	sleep(ctx, 3*time.Second)
	f.rec.add("%d orders of patient clients served", tally.served.Load())
	f.rec.add("GONE: of %d clients that leave early, %d requests reached the endpoint over %s after the client had closed", count, left.late.Load(), goneGrace)
	if left.late.Load() > goneAllowed {
		return broken, nil
	}
	return held, nil
}

// handle works on a request, unless its connection closes.
func (d *departures) handle(e *endpoint, w http.ResponseWriter, r *http.Request, _ []byte) {
	id := e.noteRun(r)
	if since := d.since(id); since > goneGrace {
		d.late.Add(1)
		e.rec.add("id=%s reaches the endpoint %s after its client has closed", id, since)
	}
	work := goneUsual
	if d.slow.Load() {
		work = goneWork
	}
	sleep(r.Context(), work)
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	e.answer(w, id, []byte("done"))
}

// patient sends the requests of one patient client until ctx ends.
func (f *fleet) patient(ctx context.Context, n *node, client int, t *orderTally) {
	for k := 0; ctx.Err() == nil; k++ {
		q := request{method: http.MethodPost, path: "/pedidos/r", id: fmt.Sprintf("p%x.%x", client, k), limit: 5 * time.Second, body: []byte("order")}
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
	q := request{method: http.MethodPost, path: "/pedidos/r", id: fmt.Sprintf("g%x", k), limit: 5 * time.Second, body: []byte("order")}
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
