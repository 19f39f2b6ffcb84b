package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case.
const (
	pauseClients = 8
	pauseFor     = 4 * time.Second
	pauseWindow  = 4096  // bytes that a client's system holds for it
	pauseAnswer  = 30000 // bytes
	pauseLimit   = 15 * time.Second
	pauseAllowed = 3 // bound of the rule
)

// dialSmall connects with a small receive window.
func dialSmall(address string) (*client, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, pauseWindow)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return newClient(conn), nil
}

// playPause has clients pause before they read their answers.
func playPause(ctx context.Context, g *errgroup.Group, f *fleet, trouble bool) (outcome, error) {
	n, err := f.add("m1", "z1", "pedidos")
	if err != nil {
		return cannot, err
	}
	e := &endpoint{rec: f.rec, node: n, id: "i-m1", slots: 193}
	e.handle = func(e *endpoint, w http.ResponseWriter, r *http.Request, _ []byte) {
		e.answer(w, e.noteRun(r), bytes.Repeat([]byte("x"), pauseAnswer))
	}
	g.Go(func() error { return e.run(ctx) })
	f.configure([]route{{prefix: "/pedidos/", kind: "non_idempotent", service: "pedidos", timeout: "15000ms"}}, nil)
	if err := f.start(ctx, g); err != nil {
		return cannot, err
	}
	sleep(ctx, 3*time.Second)
	var lost atomic.Int64
	var clients errgroup.Group
	for i := range pauseClients {
		clients.Go(func() error {
			c, err := dialSmall(n.front)
			if err != nil {
				return err
			}
			defer c.close()
			q := request{method: http.MethodPost, path: "/pedidos/o", id: fmt.Sprintf("s%d", i), limit: pauseLimit, body: []byte("order")}
			if err := c.send(q); err != nil {
				return err
			}
			if trouble {
				sleep(ctx, pauseFor)
			}
			a := c.read(q)
			f.rec.add("client id=%s: %s", q.id, a)
			if !a.isServed() || len(a.body) != pauseAnswer {
				lost.Add(1)
			}
			return nil
		})
	}
	if err := clients.Wait(); err != nil {
		return cannot, err
	}
	f.rec.add("LOST: %d of %d requests were passed on, and their connections closed without the answer; allowed are %d", lost.Load(), pauseClients, pauseAllowed)
	if lost.Load() > pauseAllowed {
		return broken, nil
	}
	return held, nil
}
