package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case.
const (
	slowRequests = 60
	slowBody     = 20000 // bytes
	slowLast     = 1000  // bytes that come after the pause
	slowPause    = 1300 * time.Millisecond
	slowLimit    = 5 * time.Second // of the client
	// slowAllowed and slowShare are the bounds of the rule: five, and one in so many.
	slowAllowed = 5
	slowShare   = 500
)

// playSlow has clients pause while they send the bodies of their orders, for longer than the
// route's timeout.
func playSlow(ctx context.Context, g *errgroup.Group, f *fleet, trouble bool) (outcome, error) {
	for i, service := range []string{"pedidos", "estoque", "catalogo"} {
		n, err := f.add(fmt.Sprintf("m%d", i+1), fmt.Sprintf("z%d", i+1), service)
		if err != nil {
			return cannot, err
		}
		e := &endpoint{rec: f.rec, node: n, id: "i-" + n.name, slots: 193}
		e.handle = func(e *endpoint, w http.ResponseWriter, r *http.Request, _ []byte) {
			e.answer(w, e.noteRun(r), []byte("done"))
		}
		g.Go(func() error { return e.run(ctx) })
	}
	f.configure([]route{{prefix: "/pedidos/", kind: "non_idempotent", service: "pedidos", timeout: "1000ms"}}, nil)
	if err := f.start(ctx, g); err != nil {
		return cannot, err
	}
	sleep(ctx, 4*time.Second)
	var answers [slowRequests]reply
	var clients errgroup.Group
	for k := range slowRequests {
		n := f.nodes[k%len(f.nodes)]
		clients.Go(func() error {
			q := request{method: http.MethodPost, path: "/pedidos/o", id: fmt.Sprintf("s%x", k), limit: slowLimit, body: bytes.Repeat([]byte("o"), slowBody)}
			var err error
			answers[k], err = sendSlowly(ctx, n, q, trouble)
			f.rec.add("client id=%s at %s: %s", q.id, n.name, answers[k])
			return err
		})
		sleep(ctx, 100*time.Millisecond)
	}
	if err := clients.Wait(); err != nil {
		return cannot, err
	}
	served, denied := countDenied(answers[:])
	f.rec.add("DENIED: of %d proper requests, %d were served and %d ended with a 4xx of the daemons, none of them 408, 421 or 429", slowRequests, served, denied)
	if denied > slowAllowed+slowRequests/slowShare {
		return broken, nil
	}
	return held, nil
}

// sendSlowly sends a request, with a pause before the end of its body if pauses is set. It
// reads the answer as soon as it comes.
func sendSlowly(ctx context.Context, n *node, q request, pauses bool) (reply, error) {
	c, err := dial(n.front)
	if err != nil {
		return reply{}, err
	}
	defer c.close()
	_ = c.conn.SetDeadline(time.Now().Add(q.limit + time.Second))
	data := q.encode()
	if _, err := c.conn.Write(data[:len(data)-slowLast]); err != nil {
		return reply{}, err
	}
	var rest errgroup.Group
	rest.Go(func() error {
		if pauses {
			sleep(ctx, slowPause)
		}
		_, _ = c.conn.Write(data[len(data)-slowLast:]) // fails if the answer came before
		return nil
	})
	a := c.read(q)
	return a, rest.Wait()
}

// countDenied returns how many answers are successes, and how many count for the rule.
func countDenied(answers []reply) (served, denied int) {
	for _, a := range answers {
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		default:
			if a.status/100 == 4 && a.header.Get("X-Response-Seal") == "" {
				denied++
			}
		}
	}
	return served, denied
}
