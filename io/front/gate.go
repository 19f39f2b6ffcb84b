package front

import (
	"context"
	"sync"
	"time"

	"anvilstand/core/admit"
	"anvilstand/core/model"
	"anvilstand/core/route"
	"anvilstand/io/clock"
)

// gate lets traffic goroutines wait at an admit.Gate.
type gate struct {
	clock   clock.Clock
	mu      sync.Mutex
	core    admit.Gate
	next    uint64
	waiting map[uint64]chan *model.Refusal
	timer   *time.Timer
}

// enter waits until the call may run and returns its ticket, or a refusal of
// a request that did not run.
func (g *gate) enter(ctx context.Context, call model.Call) (uint64, error) {
	id, verdict, err := g.offer(call)
	if err != nil {
		return 0, err
	}
	late := time.NewTimer(call.Left())
	defer late.Stop()
	select {
	case r := <-verdict:
		return id, orNil(r)
	case <-ctx.Done():
		return g.leave(id, verdict, model.Canceled{})
	case <-late.C:
		return g.leave(id, verdict, model.Late{})
	}
}

func orNil(r *model.Refusal) error {
	if r == nil {
		return nil
	}
	return r
}

func (g *gate) offer(call model.Call) (uint64, chan *model.Refusal, error) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	var out admit.Outbox
	if err := g.core.Offer(now, admit.NewTicket(g.next, call, now), &out); err != nil {
		return 0, nil, err
	}
	if g.waiting == nil {
		g.waiting = map[uint64]chan *model.Refusal{}
	}
	verdict := make(chan *model.Refusal, 1)
	g.waiting[g.next] = verdict
	g.act(&out)
	return g.next, verdict, nil
}

// leave gives up a ticket, unless its verdict came first.
func (g *gate) leave(id uint64, verdict chan *model.Refusal, reason model.Reason) (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, still := g.waiting[id]; !still {
		return id, orNil(<-verdict)
	}
	delete(g.waiting, id)
	g.core.Leave(id)
	return 0, model.Refuse(reason, 0)
}

// finish ends a ticket that ran.
func (g *gate) finish(id uint64, outcome admit.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out admit.Outbox
	g.core.Finish(g.clock.Now(), id, outcome, &out)
	g.act(&out)
}

// report is what the gate tells callers' daemons.
func (g *gate) report() route.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return route.NewReport(g.core.Level(), g.core.Load(), g.core.Limit())
}

// close refuses new tickets.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Close()
}

// told sets the limit by the slots that the target tells, and the pace while it
// is cold.
func (g *gate) told(slots int, rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out admit.Outbox
	g.core.Told(slots)
	g.core.Pace(g.clock.Now(), rate, &out)
	g.act(&out)
}

// wake starts what the pace allows by now.
func (g *gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out admit.Outbox
	g.core.Tick(g.clock.Now(), &out)
	g.act(&out)
}

// rearm has the gate woken when the next paced request may start.
func (g *gate) rearm() {
	d, due := g.core.Due(g.clock.Now())
	switch {
	case !due:
	case g.timer == nil:
		g.timer = time.AfterFunc(d, g.wake)
	default:
		g.timer.Reset(d)
	}
}

func (g *gate) act(out *admit.Outbox) {
	defer g.rearm()
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case admit.Start:
			g.decide(a.ID(), nil)
		case admit.Drop:
			g.decide(a.ID(), a.Refusal())
		}
	}
}

func (g *gate) decide(id uint64, r *model.Refusal) {
	if verdict, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		verdict <- r
	}
}
