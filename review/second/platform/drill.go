//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of the case of a stop that is lost in a drill of the store, from the moment at
// which the stop was confirmed.
const (
	copyAge       = 2 * time.Second // of the copy, when the stop is confirmed
	awayAt        = 500 * time.Millisecond
	killAt        = 800 * time.Millisecond
	backAt        = time.Second
	lateBeatAt    = 2500 * time.Millisecond
	requestsFrom  = 6 * time.Second
	requestsUntil = 9 * time.Second
	drainBound    = 2 * time.Second
	// touchFrom is when all is in touch again: contact after the last disturbance.
	touchFrom = backAt + 2*time.Second + contactTime
)

// runBook holds when a target began to run requests.
type runBook struct {
	mu   sync.Mutex
	runs []time.Time
}

func (b *runBook) add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, time.Now())
}

// after returns how many runs began after a time.
func (b *runBook) after(t time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, run := range b.runs {
		if run.After(t) {
			n++
		}
	}
	return n
}

// playDrill has a target deregister, restores the store from an older copy, and kills the
// daemon beside the target meanwhile. A heartbeat that the target sent before arrives
// late. The target must get no request any more.
func playDrill(ctx context.Context, r *rig) (bool, error) {
	book := &runBook{}
	leaving, err := r.prepareDrill(ctx, book)
	if err != nil {
		return false, err
	}
	c := r.store.copy()
	if err := sleep(ctx, copyAge); err != nil {
		return false, err
	}
	leaving.stopBeating()
	late := leaving.nextBeat("ready")
	if err := leaving.deregister(ctx); err != nil {
		return false, err
	}
	confirmed := time.Now()
	r.record.note("the stop of %s is confirmed", leaving.id)
	steps := []struct {
		at time.Duration
		do func() error
	}{
		{awayAt, func() error { r.drillBegins(); return nil }},
		{killAt, func() error { return r.drillKill(leaving.machine) }},
		{backAt, func() error { r.drillEnds(c); return nil }},
		{lateBeatAt, func() error { r.record.note("a late heartbeat: %v", leaving.beat(ctx, late)); return nil }},
	}
	for _, s := range steps {
		if err := sleep(ctx, time.Until(confirmed.Add(s.at))); err != nil {
			return false, err
		}
		if err := s.do(); err != nil {
			return false, err
		}
	}
	if err := r.sendUntil(ctx, confirmed.Add(requestsFrom), confirmed.Add(requestsUntil)); err != nil {
		return false, err
	}
	n := book.after(confirmed.Add(max(drainBound, touchFrom)))
	r.record.note("%d requests reached the target later than %v after the confirmation", n, max(drainBound, touchFrom))
	return n > 0, nil
}

// prepareDrill starts the targets and waits until they are served. It returns the one
// that leaves.
func (r *rig) prepareDrill(ctx context.Context, book *runBook) (*target, error) {
	if err := r.configure("jepu9.example/puka111/ non_idempotent wuno96b 5000ms"); err != nil {
		return nil, err
	}
	var leaving *target
	for i, m := range r.machines {
		t, err := r.startTarget(ctx, m, fmt.Sprint("i-", i), func(w http.ResponseWriter, _ *http.Request) {
			book.add()
			answer(w, 400)
		})
		if err != nil {
			return nil, err
		}
		leaving = t
	}
	if err := r.awaitReady(ctx); err != nil {
		return nil, err
	}
	if err := r.awaitServed(ctx, r.machines[0], "jepu9.example", "/puka111/2f"); err != nil {
		return nil, err
	}
	return leaving, sleep(ctx, 4*time.Second)
}

func (r *rig) drillBegins() {
	if r.trouble {
		r.record.note("the store is away")
		r.store.setDown(true)
	}
}

func (r *rig) drillKill(m machine) error {
	if !r.trouble {
		return nil
	}
	return r.signal(m, syscall.SIGKILL)
}

func (r *rig) drillEnds(c storeCopy) {
	if r.trouble {
		r.store.restore(c)
		r.record.note("the store is back from a copy")
	}
}

// sendUntil has a client send requests in a span of time.
func (r *rig) sendUntil(ctx context.Context, from, until time.Time) error {
	if err := sleep(ctx, time.Until(from)); err != nil {
		return err
	}
	for n := 0; time.Now().Before(until); n++ {
		conn, err := dial(ctx, r.machines[0].front(), 0)
		if err != nil {
			return err
		}
		e := &exchange{id: fmt.Sprintf("order%d", n), method: http.MethodPost, host: "jepu9.example", path: "/puka111/2f", deadline: time.Second}
		e.run(ctx, conn, r.record)
		_ = conn.Close()
		if err := sleep(ctx, 300*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}
