//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case of many kept connections.
const (
	crowdSize     = 2000 // clients, each with one connection
	crowdDialers  = 20   // that open connections at a time
	crowdDeadline = 3 * time.Second
	// contactTime is contact of the rule, and minTrying the clients that try meanwhile.
	contactTime = 3 * time.Second
	minTrying   = 7
	callers     = 10
)

// playCrowd has many clients send one request each and keep their connections idle, for
// less than four fifths of the idle timeout. Meanwhile a few clients open new connections.
func playCrowd(ctx context.Context, r *rig) (bool, error) {
	if err := r.configure("hulo84.example/leny950/ idempotent huvo11a 5000ms"); err != nil {
		return false, err
	}
	for i, m := range r.machines {
		if _, err := r.startTarget(ctx, m, fmt.Sprint("i-", i), func(w http.ResponseWriter, _ *http.Request) { answer(w, 400) }); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(ctx); err != nil {
		return false, err
	}
	if err := r.awaitServed(ctx, r.machines[0], "hulo84.example", "/leny950/2f"); err != nil {
		return false, err
	}
	if err := sleep(ctx, 4*time.Second); err != nil {
		return false, err
	}
	size := crowdSize
	if !r.trouble {
		size = crowdSize / 20
	}
	kept := r.gather(ctx, size)
	defer func() {
		for _, conn := range kept {
			_ = conn.Close()
		}
	}()
	ready := r.isReady(ctx, r.machines[0])
	r.record.note("the daemon says that it is ready: %v", ready)
	answered, tried := r.tryNew(ctx)
	r.record.note("%d of %d clients got an answer on a new connection within %v", answered, tried, contactTime)
	return ready && tried >= minTrying && answered == 0, nil
}

// gather opens the connections of the crowd, each with one request. It ends when one is
// not answered: the daemon holds as many as it takes.
func (r *rig) gather(ctx context.Context, size int) []net.Conn {
	conns := make(chan net.Conn, size)
	var g errgroup.Group
	for d := range crowdDialers {
		g.Go(func() error {
			for i := range size / crowdDialers {
				conn, err := dial(ctx, r.machines[0].front(), 0)
				if err != nil {
					return err
				}
				conns <- conn
				e := &exchange{id: fmt.Sprintf("crowd%d-%d", d, i), method: http.MethodGet, host: "hulo84.example", path: "/leny950/2f", deadline: time.Second}
				if e.run(ctx, conn, r.record); !e.whole {
					return e.err
				}
			}
			return nil
		})
	}
	err := g.Wait()
	close(conns)
	var kept []net.Conn
	for conn := range conns {
		kept = append(kept, conn)
	}
	r.record.note("%d connections are kept; the last error was: %v", len(kept), err)
	return kept
}

// tryNew has callers open new connections for contactTime, each again and again, and
// returns how many got an answer.
func (r *rig) tryNew(ctx context.Context) (answered, tried int) {
	end := time.Now().Add(contactTime)
	ok := make([]bool, callers)
	var g errgroup.Group
	for i := range callers {
		g.Go(func() error {
			for n := 0; time.Now().Before(end); n++ {
				conn, err := dial(ctx, r.machines[0].front(), 0)
				if err != nil {
					r.record.note("caller%d: %v", i, err)
					_ = sleep(ctx, 200*time.Millisecond)
					continue
				}
				e := &exchange{id: fmt.Sprintf("caller%d-%d", i, n), method: http.MethodGet, host: "hulo84.example", path: "/leny950/2f", deadline: time.Second}
				e.run(ctx, conn, r.record)
				_ = conn.Close()
				ok[i] = ok[i] || e.status != 0
				_ = sleep(ctx, 100*time.Millisecond)
			}
			return nil
		})
	}
	_ = g.Wait()
	for _, o := range ok {
		if o {
			answered++
		}
	}
	return answered, callers
}
