package front

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"anvilstand/core/admit"
	"anvilstand/core/load"
	"anvilstand/core/model"
	"anvilstand/core/ramp"
	"anvilstand/core/route"
	"anvilstand/io/clock"
	"anvilstand/io/form"
)

// admission lets concurrent requests wait for admission to the target by an
// admit.Controller.
type admission struct {
	clock   clock.Clock
	log     hclog.Logger
	mu      sync.Mutex
	core    admit.Controller
	lastID  uint64
	waiting map[uint64]waiter
	timer   *time.Timer
}

// waiter is a request that waits for admission. result receives nil when its ticket is
// started, or a refusal.
type waiter struct {
	request model.Request
	result  chan *model.Refusal
}

// admit waits until the call may run and returns its ticket's id. The wait also
// ends when ctx ends (Canceled) and at the call's deadline (Late). The error is a
// *model.Refusal of a request that did not run.
func (a *admission) admit(ctx context.Context, call model.Call, kind load.Kind) (uint64, error) {
	id, result, err := a.offer(call, kind)
	if err != nil {
		return 0, err
	}
	select {
	case r := <-result: // a free slot needs no timer
		return id, refusalError(r)
	default:
	}
	expiry := time.NewTimer(call.TimeLeft())
	defer expiry.Stop()
	select {
	case r := <-result:
		return id, refusalError(r)
	case <-ctx.Done():
		return a.cancel(id, result, model.Canceled{})
	case <-expiry.C:
		return a.cancel(id, result, model.Late{})
	}
}

// refusalError returns r as an error that is nil if r is.
func refusalError(r *model.Refusal) error {
	if r == nil {
		return nil
	}
	return r
}

// offer adds a ticket for the call. The channel receives nil when the ticket is
// started, or a refusal when it is rejected.
func (a *admission) offer(call model.Call, kind load.Kind) (uint64, chan *model.Refusal, error) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	var out admit.Outbox
	if err := a.core.Offer(now, admit.NewTicket(a.lastID, call, now).WithKind(kind), &out); err != nil {
		return 0, nil, err
	}
	if a.waiting == nil {
		a.waiting = map[uint64]waiter{}
	}
	result := make(chan *model.Refusal, 1)
	a.waiting[a.lastID] = waiter{request: call.ID(), result: result}
	a.apply(&out)
	return a.lastID, result, nil
}

// cancel withdraws a waiting ticket, with the reason as its refusal. If the
// ticket has been started or rejected meanwhile, that result counts.
func (a *admission) cancel(id uint64, result chan *model.Refusal, reason model.Reason) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, waiting := a.waiting[id]; !waiting {
		return id, refusalError(<-result)
	}
	delete(a.waiting, id)
	a.core.Cancel(id)
	return 0, model.Refuse(reason, 0)
}

// finish ends a ticket whose request ran, and admits waiting requests.
func (a *admission) finish(id uint64, outcome admit.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.logRamp(a.core.Ramp())
	var out admit.Outbox
	a.core.Finish(a.clock.Now(), id, outcome, &out)
	a.apply(&out)
}

// observe takes the load that the target reports with a response.
func (a *admission) observe(info form.ResponseInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if info.LoadError() != nil {
		a.core.DiscardReport(load.Malformed{})
	}
	if r, ok := info.Load(); ok {
		a.core.Observe(a.clock.Now(), r)
	}
}

// discardedReports returns how many load reports were discarded for a reason.
func (a *admission) discardedReports(why load.Reason) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.DiscardedReports(why)
}

// report returns the target's admission level, load, limit and expected time until an
// answer, for other daemons.
func (a *admission) report() route.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := route.NewReport(a.core.Level(), a.core.Load(), a.core.Limit())
	return r.WithExpected(a.core.Expected(a.clock.Now()))
}

// close makes admit refuse new calls.
func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Close()
}

// withdraw refuses those of the requests that still wait.
func (a *admission) withdraw(ids []model.Request) {
	withdrawn := make(map[model.Request]bool, len(ids))
	for _, id := range ids {
		withdrawn[id] = true
	}
	a.withdrawIf(func(w waiter) bool { return withdrawn[w.request] })
}

// withdrawAll refuses all requests that still wait.
func (a *admission) withdrawAll() { a.withdrawIf(func(waiter) bool { return true }) }

func (a *admission) withdrawIf(chosen func(waiter) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, w := range a.waiting {
		if chosen(w) {
			a.core.Cancel(id)
			a.notify(id, model.Refuse(model.Leaving{}, 0))
		}
	}
}

// setCapacity sets the concurrency limit from the number of slots that the target
// reports (0: not reported), the warm-up rate in requests a second while the target is
// cold (0: unlimited), and why it is cold (nil: it is not). A ramp may be on only if the
// service has no warm-up rate.
func (a *admission) setCapacity(slots int, rate float64, cause ramp.Cause, rampAllowed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.logRamp(a.core.Ramp())
	var out admit.Outbox
	now := a.clock.Now()
	a.core.SetSlots(slots)
	a.core.SetWarmupRate(now, rate, &out)
	a.core.SetColdness(now, cause, rampAllowed, &out)
	a.apply(&out)
}

// startByWarmupRate starts the queued requests that the warm-up rate allows by
// now.
func (a *admission) startByWarmupRate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out admit.Outbox
	a.core.Tick(a.clock.Now(), &out)
	a.apply(&out)
}

// resetTimer schedules startByWarmupRate for the time at which the warm-up rate
// allows the next queued request.
func (a *admission) resetTimer() {
	d, due := a.core.NextWarmupStart(a.clock.Now())
	switch {
	case !due:
	case a.timer == nil:
		a.timer = time.AfterFunc(d, a.startByWarmupRate)
	default:
		a.timer.Reset(d)
	}
}

// apply passes the controller's decisions on to the waiting requests.
func (a *admission) apply(out *admit.Outbox) {
	defer a.resetTimer()
	for _, action := range out.Actions() {
		switch action := action.(type) {
		case admit.Start:
			a.notify(action.ID(), nil)
		case admit.Reject:
			a.notify(action.ID(), action.Refusal())
		}
	}
}

func (a *admission) notify(id uint64, r *model.Refusal) {
	if w, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		w.result <- r
	}
}
