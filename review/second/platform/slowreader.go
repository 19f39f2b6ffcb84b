//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case of clients that read slowly.
const (
	slowClients   = 8
	slowWindow    = 4096 // bytes of the receive buffer
	slowAnswer    = 24000
	slowPause     = 4 * time.Second
	slowDeadline  = 5 * time.Second
	maxUnanswered = 3 // of the rule
)

// playSlowReader has clients on kept connections pause within an answer before they read
// on, around a SIGHUP of their daemon. Each should get its whole answer.
func playSlowReader(ctx context.Context, r *rig) (bool, error) {
	if err := r.configure("hulo84.example/leny950/ idempotent wuno96b 5000ms"); err != nil {
		return false, err
	}
	for i, m := range r.machines {
		if _, err := r.startTarget(ctx, m, fmt.Sprint("i-", i), func(w http.ResponseWriter, _ *http.Request) { answer(w, slowAnswer) }); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(ctx); err != nil {
		return false, err
	}
	if err := r.awaitServed(ctx, r.machines[0], "hulo84.example", "/leny950/2f"); err != nil {
		return false, err
	}
	conns, err := r.keptConnections(ctx)
	if err != nil {
		return false, err
	}
	// In touch: all has run undisturbed for longer than contact.
	if err := sleep(ctx, 4*time.Second); err != nil {
		return false, err
	}
	if err := r.signal(r.machines[0], syscall.SIGHUP); err != nil {
		return false, err
	}
	if err := sleep(ctx, 200*time.Millisecond); err != nil {
		return false, err
	}
	cut := r.readSlowly(ctx, conns)
	r.record.note("%d of %d answers were cut; more than %d break the rule", cut, len(conns), maxUnanswered)
	return cut > maxUnanswered, nil
}

// keptConnections opens the clients' connections and sends a first request on each.
func (r *rig) keptConnections(ctx context.Context) ([]net.Conn, error) {
	conns := make([]net.Conn, 0, slowClients)
	for i := range slowClients {
		conn, err := dial(ctx, r.machines[0].front(), slowWindow)
		if err != nil {
			return nil, err
		}
		conns = append(conns, conn)
		e := &exchange{id: fmt.Sprintf("first%d", i), method: http.MethodGet, host: "hulo84.example", path: "/leny950/2f", deadline: slowDeadline}
		if e.run(ctx, conn, r.record); !e.whole || e.status != http.StatusOK {
			return nil, fmt.Errorf("first request: %s", e)
		}
	}
	return conns, nil
}

// readSlowly sends a request on each connection and returns how many answers were cut.
func (r *rig) readSlowly(ctx context.Context, conns []net.Conn) int {
	exchanges := make([]*exchange, len(conns))
	var g errgroup.Group
	for i, conn := range conns {
		e := &exchange{id: fmt.Sprintf("slow%d", i), method: http.MethodGet, host: "hulo84.example", path: "/leny950/2f", deadline: slowDeadline}
		if r.trouble {
			e.pause = slowPause
		}
		exchanges[i] = e
		g.Go(func() error {
			e.run(ctx, conn, r.record)
			_ = conn.Close()
			return nil
		})
	}
	_ = g.Wait()
	cut := 0
	for _, e := range exchanges {
		if e.status != http.StatusOK || !e.whole || e.size != slowAnswer {
			cut++
		}
	}
	return cut
}
