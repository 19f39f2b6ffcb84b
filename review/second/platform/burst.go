//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// The organisation whose burst is spent twice, and the bounds of the rule.
const (
	newTenantName = "lohu241"
	newTenantKey  = "8pjbvk9m68k7b2ex5wa5"
	newRate       = 10.0  // requests a second
	newBurst      = 200.0 // requests
	quotaWindow   = 5 * time.Second
	quotaExcess   = 0.1
	quotaSlack    = 20.0
)

// Times of the case, from the moment at which the organisation was added.
const (
	floodAt        = 1500 * time.Millisecond
	burstAwayAt    = 2500 * time.Millisecond
	burstKillAt    = 2600 * time.Millisecond
	burstBackAt    = 2800 * time.Millisecond
	floodUntil     = 9 * time.Second
	floodClients   = 8 // of each machine
	floodPause     = 20 * time.Millisecond
	floodDeadline  = 2 * time.Second
	newTenantRoute = "hulo84.example/leny950/ idempotent huvo11a 5000ms"
)

// tokenRun is a request of the organisation that a target has run.
type tokenRun struct{ sent, ran time.Time }

// tokenBook holds when requests were sent, and those that have run.
type tokenBook struct {
	mu   sync.Mutex
	sent map[string]time.Time
	runs []tokenRun
}

func (b *tokenBook) noteSent(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[id] = time.Now()
}

func (b *tokenBook) noteRun(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at, ok := b.sent[id]; ok {
		b.runs = append(b.runs, tokenRun{sent: at, ran: time.Now()})
	}
}

// most returns the largest number of requests that were both sent and run in a window.
func (b *tokenBook) most(window time.Duration) (most, all int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, first := range b.runs {
		n := 0
		for _, r := range b.runs {
			if !r.sent.Before(first.sent) && r.ran.Sub(first.sent) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most, len(b.runs)
}

// playBurst adds an organisation, whose clients spend its burst. Then the store is
// restored from a copy that is some seconds old, and all daemons are killed meanwhile. No
// window may have more requests of the organisation than its limit.
func playBurst(ctx context.Context, r *rig) (bool, error) {
	book := &tokenBook{sent: map[string]time.Time{}}
	if err := r.prepareBurst(ctx, book); err != nil {
		return false, err
	}
	c := r.store.copy()
	added := time.Now()
	tenants := []any{tenant("pulo780", "6wsjnbanfqasnmgkcuyj", 160, 160), tenant(newTenantName, newTenantKey, newRate, newBurst)}
	if err := r.putConfig("00000009", false, tenants, []string{newTenantRoute}); err != nil {
		return false, err
	}
	r.record.note("the organisation %s is added: %v a second, burst %v", newTenantName, newRate, newBurst)
	var g errgroup.Group
	g.Go(func() error { return r.flood(ctx, added, book) })
	g.Go(func() error { return r.playBurstFaults(ctx, added, c) })
	if err := g.Wait(); err != nil {
		return false, err
	}
	limit := (newRate*quotaWindow.Seconds()+newBurst)*(1+quotaExcess) + quotaSlack
	most, all := book.most(quotaWindow)
	r.record.note("%d requests have run, %d of them in one window of %v; the limit is %.0f", all, most, quotaWindow, limit)
	return float64(most) > limit, nil
}

// prepareBurst starts the targets and waits until all has run undisturbed for longer than
// contact.
func (r *rig) prepareBurst(ctx context.Context, book *tokenBook) error {
	tenants := []any{tenant("pulo780", "6wsjnbanfqasnmgkcuyj", 160, 160)}
	if err := r.putConfig("00000007", false, tenants, []string{newTenantRoute}); err != nil {
		return err
	}
	for i, m := range r.machines {
		work := func(w http.ResponseWriter, q *http.Request) {
			book.noteRun(q.Header.Get("X-Attempt-Id"))
			answer(w, 400)
		}
		if _, err := r.startTarget(ctx, m, fmt.Sprint("i-", i), work); err != nil {
			return err
		}
	}
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	return sleep(ctx, 6*time.Second)
}

// playBurstFaults restores the store from a copy and kills all daemons meanwhile.
func (r *rig) playBurstFaults(ctx context.Context, added time.Time, c storeCopy) error {
	if err := sleep(ctx, time.Until(added.Add(burstAwayAt))); err != nil {
		return err
	}
	r.drillBegins()
	if err := sleep(ctx, time.Until(added.Add(burstKillAt))); err != nil {
		return err
	}
	for _, m := range r.machines {
		if !r.trouble {
			break
		}
		if err := r.signal(m, syscall.SIGKILL); err != nil {
			return err
		}
	}
	if err := sleep(ctx, time.Until(added.Add(burstBackAt))); err != nil {
		return err
	}
	r.drillEnds(c)
	return nil
}

// flood has clients of all machines send requests with the organisation's key.
func (r *rig) flood(ctx context.Context, added time.Time, book *tokenBook) error {
	if err := sleep(ctx, time.Until(added.Add(floodAt))); err != nil {
		return err
	}
	var g errgroup.Group
	for i, m := range slices.Repeat(r.machines, floodClients) {
		g.Go(func() error {
			for n := 0; time.Since(added) < floodUntil; n++ {
				r.sendKeyed(ctx, m, fmt.Sprintf("keyed%d-%d", i, n), book)
				_ = sleep(ctx, floodPause)
			}
			return nil
		})
	}
	return g.Wait()
}

// sendKeyed sends a request of the organisation on a new connection.
func (r *rig) sendKeyed(ctx context.Context, m machine, id string, book *tokenBook) {
	conn, err := dial(ctx, m.front(), 0)
	if err != nil {
		return // the daemon is away
	}
	defer func() { _ = conn.Close() }()
	book.noteSent(id)
	e := &exchange{id: id, method: http.MethodGet, host: "hulo84.example", path: "/leny950/2f", key: newTenantKey, deadline: floodDeadline}
	e.run(ctx, conn, r.record)
}
