//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// Times of the case of calls late in a planned stop, from the SIGTERM on.
const (
	lateRequests  = 6
	requestAt     = time.Second             // clients send their requests
	callAt        = 4500 * time.Millisecond // the target makes the calls that they need
	callWork      = 1200 * time.Millisecond // of the target that is called
	callDeadline  = 2500 * time.Millisecond
	lateDeadline  = 5 * time.Second
	graceOfStop   = 6 * time.Second
	lastAcceptAge = 3 * time.Second // requests that are sent later have no excuse
)

// lateCall is a call that a target has made, and what its own daemon answered.
type lateCall struct {
	exchange
	sentAfter time.Duration // the SIGTERM
}

// callBook holds the calls that were made, and those that a target began to run.
type callBook struct {
	mu    sync.Mutex
	began time.Time
	calls []*lateCall
	ran   map[string]bool
	kept  []net.Conn // that the calling target has open to its daemon
}

// take takes a kept connection.
func (b *callBook) take() net.Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	conn := b.kept[0]
	b.kept = b.kept[1:]
	return conn
}

func (b *callBook) start(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.began = at
}

func (b *callBook) add(c *lateCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, c)
}

// size returns how many calls have ended.
func (b *callBook) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.calls)
}

func (b *callBook) noteRun(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ran == nil {
		b.ran = map[string]bool{}
	}
	b.ran[id] = true
}

func (b *callBook) since() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.began)
}

// playLateCall stops a daemon as planned while the target beside it goes on. The target
// makes a call for each of its requests late in the grace, through that daemon. A call
// that is passed on must get the answer of the target that works at it.
func playLateCall(ctx context.Context, r *rig) (bool, error) {
	book := &callBook{began: time.Now()}
	if err := r.prepareLateCall(ctx, book); err != nil {
		return false, err
	}
	stopped := r.machines[0]
	book.start(time.Now())
	if r.trouble {
		if err := r.signal(stopped, syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, requestAt); err != nil {
		return false, err
	}
	var g errgroup.Group
	for i := range lateRequests {
		g.Go(func() error {
			conn, err := dial(ctx, stopped.front(), 0)
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			e := &exchange{id: fmt.Sprintf("order%d", i), method: http.MethodPost, host: "jepu9.example", path: "/puka111/2f", deadline: lateDeadline}
			e.run(ctx, conn, r.record)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return false, err
	}
	// A request may be answered before its call.
	if err := r.await(ctx, callDeadline, func() bool { return book.size() == lateRequests }); err != nil {
		return false, err
	}
	return book.judge(r.record), nil
}

// prepareLateCall starts the targets and waits until both services are served and all has
// run undisturbed for longer than contact.
func (r *rig) prepareLateCall(ctx context.Context, book *callBook) error {
	if err := r.configure("jepu9.example/puka111/ non_idempotent wuno96b 5000ms", "hulo84.example/leny950/ idempotent huvo11a 5000ms"); err != nil {
		return err
	}
	works := []http.HandlerFunc{
		func(w http.ResponseWriter, q *http.Request) { r.workWithCall(ctx, w, q, book) },
		func(w http.ResponseWriter, q *http.Request) {
			book.noteRun(q.Header.Get("X-Attempt-Id"))
			if q.URL.Path != "/leny950/probe" {
				_ = sleep(q.Context(), callWork)
			}
			answer(w, 400)
		},
	}
	for i, m := range r.machines {
		if _, err := r.startTarget(ctx, m, fmt.Sprint("i-", i), works[min(i, 1)]); err != nil {
			return err
		}
	}
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	if err := r.awaitServed(ctx, r.machines[0], "hulo84.example", "/leny950/probe"); err != nil {
		return err
	}
	if err := r.awaitServed(ctx, r.machines[0], "jepu9.example", "/puka111/probe"); err != nil {
		return err
	}
	for i := range lateRequests {
		conn, err := dial(ctx, r.machines[0].front(), 0)
		if err != nil {
			return err
		}
		book.kept = append(book.kept, conn)
		e := &exchange{id: fmt.Sprintf("early%d", i), method: http.MethodGet, host: "hulo84.example", path: "/leny950/probe", deadline: time.Second}
		if e.run(ctx, conn, r.record); e.status != http.StatusOK {
			return errors.Errorf("early call: %s", e)
		}
	}
	return sleep(ctx, 4*time.Second)
}

// workWithCall works at a request until callAt, then makes the call that it needs through
// the daemon of its own machine.
func (r *rig) workWithCall(ctx context.Context, w http.ResponseWriter, q *http.Request, book *callBook) {
	if q.URL.Path == "/puka111/probe" {
		answer(w, 400)
		return
	}
	_ = sleep(ctx, callAt-book.since())
	c := &lateCall{exchange: exchange{
		id: q.Header.Get("X-Attempt-Id") + ".1", method: http.MethodGet,
		host: "hulo84.example", path: "/leny950/2f", deadline: callDeadline,
	}}
	c.sentAfter = book.since()
	conn := book.take()
	c.run(ctx, conn, r.record)
	_ = conn.Close()
	book.add(c)
	if c.status != http.StatusOK {
		w.Header().Set("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d2")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer(w, 400)
}

// judge returns whether a call that a target had begun to run got no whole answer of that
// target, or one of the daemon, though it was sent so late that the end of the grace is no
// excuse.
func (b *callBook) judge(rec *record) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	broken := 0
	for _, c := range b.calls {
		lost := b.ran[c.id] && (c.status != http.StatusOK || !c.whole)
		rec.note("call %s sent %.2f s after the SIGTERM, run %v: %s", c.id, c.sentAfter.Seconds(), b.ran[c.id], &c.exchange)
		if lost && c.sentAfter > lastAcceptAge && c.sentAfter < graceOfStop {
			broken++
		}
	}
	rec.note("%d of %d calls were broken off while their target was at work", broken, len(b.calls))
	return broken > 0
}
