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
	crashPath    = "/pedidos/lote-7"
	crashDown    = 3 * time.Second // until the endpoint is back
	crashWarmup  = 3 * time.Second
	crashWork    = 450 * time.Millisecond
	crashSlots   = 145
	crashClients = 560
	crashTries   = 8 // of the client of the request, after a refusal that promises it has not run
	crashTimes   = 9 // arrivals of the request that crashes endpoints
	crashPause   = 8 * time.Second
	// crashContact and crashAllowed are the bounds of the rule.
	crashContact = 3 * time.Second
	crashAllowed = 3
)

// crashLog is when a request has crashed endpoints.
type crashLog struct {
	mu     sync.Mutex
	sentAt map[string]time.Time // attempts, by id
	count  int
	third  time.Time // when it had crashed the third endpoint
	late   int       // attempts sent later than crashContact after it that reached endpoints
}

// note records that an attempt has reached an endpoint, which it crashes.
func (l *crashLog) note(id string) (count int, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if l.count == crashAllowed {
		l.third = time.Now()
	}
	late = l.count > crashAllowed && l.sentAt[id].After(l.third.Add(crashContact))
	if late {
		l.late++
	}
	return l.count, late
}

func (l *crashLog) noteSent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentAt[id] = time.Now()
}

// crashing is the endpoint of a machine, lifetime after lifetime.
type crashing struct {
	f       *fleet
	node    *node
	harmful bool // the request crashes the endpoint
	log     *crashLog
	busy    atomic.Int64
}

func (c *crashing) run(ctx context.Context) error {
	for life := 1; ctx.Err() == nil; life++ {
		if err := c.live(ctx, life); err != nil {
			return err
		}
		sleep(ctx, crashDown)
	}
	return nil
}

// live runs one lifetime, until the request crashes the endpoint.
func (c *crashing) live(ctx context.Context, life int) error {
	ctx, crash := context.WithCancel(ctx)
	defer crash()
	e := &endpoint{rec: c.f.rec, node: c.node, id: fmt.Sprintf("i-%s-%d", c.node.name, life), slots: crashSlots}
	if life > 1 {
		e.warmUntil = time.Now().Add(crashWarmup)
	}
	e.handle = func(e *endpoint, w http.ResponseWriter, r *http.Request, _ []byte) {
		id := e.noteRun(r)
		if r.URL.Path == crashPath && c.harmful {
			n, late := c.log.note(id)
			e.rec.add("%s crashes by id=%s, the %d. crash, with %d other requests at work, counted %v", e.id, id, n, c.busy.Load(), late)
			crash()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		c.busy.Add(1)
		defer c.busy.Add(-1)
		sleep(r.Context(), crashWork)
		e.answer(w, id, []byte("done"))
	}
	return e.run(ctx)
}

// playCrash sends a request again and again that crashes each endpoint which begins to run
// it, beside ordinary load.
func playCrash(ctx context.Context, g *errgroup.Group, f *fleet, trouble bool) (outcome, error) {
	log := &crashLog{sentAt: map[string]time.Time{}}
	for i := range 4 {
		n, err := f.add(fmt.Sprintf("m%d", i+1), fmt.Sprintf("z%d", i%2+1), "pedidos")
		if err != nil {
			return cannot, err
		}
		c := &crashing{f: f, node: n, harmful: trouble, log: log}
		g.Go(func() error { return c.run(ctx) })
	}
	f.configure([]route{{prefix: "/pedidos/", kind: "non_idempotent", service: "pedidos", timeout: "3000ms"}}, nil)
	if err := f.start(ctx, g); err != nil {
		return cannot, err
	}
	sleep(ctx, 3*time.Second)
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var load errgroup.Group
	orders := &orderTally{}
	for i := range crashClients {
		load.Go(func() error {
			f.orders(loadCtx, f.nodes[i%len(f.nodes)], i, orders)
			return nil
		})
	}
	sleep(ctx, 5*time.Second)
	for k := range crashTimes {
		next := time.Now().Add(crashPause)
		f.sendHarmful(ctx, f.nodes[k%len(f.nodes)], k, log)
		sleep(ctx, time.Until(next))
	}
	endLoad()
	_ = load.Wait()
	f.rec.add("other requests: %d served, %d without an answer or with 502", orders.served.Load(), orders.lost.Load())
	f.rec.add("BUDGET: the request has crashed %d endpoints; sent later than %s after the third crash, it reached %d, allowed are %d",
		log.count, crashContact, log.late, crashAllowed)
	if log.late > crashAllowed {
		return broken, nil
	}
	return held, nil
}

// sendHarmful sends the request until it gets another answer than a refusal.
func (f *fleet) sendHarmful(ctx context.Context, n *node, k int, log *crashLog) {
	for try := range crashTries {
		id := fmt.Sprintf("c%d.%d", k, try)
		log.noteSent(id)
		a := n.once(request{method: http.MethodPost, path: crashPath, id: id, limit: 3 * time.Second, body: []byte("lote")})
		f.rec.add("client id=%s at %s: %s", id, n.name, a)
		if a.status != http.StatusServiceUnavailable {
			return
		}
		sleep(ctx, 400*time.Millisecond)
	}
}

// orderTally counts ordinary requests.
type orderTally struct{ served, lost atomic.Int64 }

// orders sends the orders of one client, one after the other, until ctx ends.
func (f *fleet) orders(ctx context.Context, n *node, client int, t *orderTally) {
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("%04x%06x", client, k)
		a := n.once(request{method: http.MethodPost, path: "/pedidos/o" + id, id: id, limit: 3 * time.Second, body: []byte("order")})
		switch {
		case a.isServed():
			t.served.Add(1)
		case a.status == http.StatusBadGateway || a.status == 0:
			t.lost.Add(1)
			f.rec.add("client id=%s at %s: %s", id, n.name, a)
		default:
			sleep(ctx, 100*time.Millisecond)
		}
	}
}
