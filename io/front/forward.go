package front

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/core/retry"
	"anvilstand/core/trace"
	"anvilstand/io/clock"
)

// attempts is what an entry daemon remembers of the attempts of one request.
type attempts struct {
	tried  map[model.Instance]bool
	rounds int
	// hadTarget reports whether there was a target to try.
	hadTarget bool
	// mayHaveRun reports whether an attempt may have run.
	mayHaveRun bool
	// noTarget reports whether no target could be chosen for the last attempt.
	noTarget bool
	// fromDaemon reports whether the last attempt ended by the word of the target's
	// daemon.
	fromDaemon bool
	// free counts the attempts that reached no target, and reached the others.
	free, reached int
	// mayHaveRunCount counts the attempts that may have run.
	mayHaveRunCount int
}

// maxMayHaveRun is the number of attempts that may have run after which a request
// is tried once more. It bounds the targets that a killing request reaches.
const maxMayHaveRun = 1

// maxFreeAttempts is the number of attempts that reach no target after which a request
// is not tried again.
const maxFreeAttempts = 6

// note notes how an attempt ended.
func (a *attempts) note(r *model.Refusal) {
	if isFree(r) {
		a.free++
	} else {
		a.reached++
	}
	if _, mayHaveRun := r.Run().(model.MayHaveRun); mayHaveRun {
		a.mayHaveRun = true
		a.mayHaveRunCount++
	}
}

// isFree reports whether an attempt reached no target, and cost none anything.
func isFree(r *model.Refusal) bool {
	_, declined := r.Reason().(model.Declined)
	_, notRun := r.Run().(model.NotRun)
	return notRun && !declined
}

// callerRefusal returns the refusal for the caller. A request of which an earlier
// attempt may have run is not reported as not run.
func (a *attempts) callerRefusal(r *model.Refusal) *model.Refusal {
	if a.mayHaveRun {
		return r.WithRun(model.MayHaveRun{})
	}
	return r
}

// forward sends a request to a target's daemon and passes the answer on. It
// tries another target when the first did not run the request, or when running
// it twice does no harm, as far as the budget, the ratio and the deadline go.
// It reports whether an answer began.
func (f *Front) forward(w http.ResponseWriter, r *http.Request, j *job) (bool, error) {
	p, err := newPayload(w, r, f.prefs.MaxBody(), f.prefs.Stall())
	if err != nil {
		return false, err
	}
	ctx, d := newDeadline(r.Context(), time.Until(j.deadline), f.prefs.Stall(), j.callerDeadline)
	defer d.stop()
	f.retryRatio.countRequest(j.call.Org(), j.service)
	j.call = withFingerprint(*j, r, p)
	a := &attempts{tried: map[model.Instance]bool{}}
	f.avoided.markTried(f.clock.Now(), j.view.Serving(j.service), a.tried)
	for {
		resp, err := f.attempt(ctx, j, p, a)
		if err == nil {
			defer resp.Body.Close()
			return true, f.relayResponse(ctx, w, resp, j, d)
		}
		a.note(refusalOf(err))
		if err := f.prepareRetry(ctx, j, p, a, err); err != nil {
			return false, a.callerRefusal(refusalOf(err))
		}
	}
}

func (f *Front) relayResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response, j *job, d *deadline) error {
	f.traceStep(j.call, trace.NewAnswered(resp.StatusCode))
	f.form.Mark(resp.Header, j.call.ID())
	if err := writeResponse(w, resp, d); err != nil {
		return failure(ctx, true)
	}
	return nil
}

// prepareRetry returns nil when the request may be tried once more, after the pause
// that is due, and otherwise the refusal for the caller.
func (f *Front) prepareRetry(ctx context.Context, j *job, p *payload, a *attempts, err error) error {
	refusal := refusalOf(err)
	if !a.hadTarget || a.noTarget {
		return refusal
	}
	if fault, ok := p.readFailure(refusal.Run()); ok {
		return fault
	}
	why, ok := retry.Reason(refusal, j.route.Idempotent() || j.call.Once() != "")
	if !ok || a.mayHaveRunCount > maxMayHaveRun {
		return refusal
	}
	pause := f.retryPause(j, a, refusal)
	if err := f.chargeRetry(j, p, a, refusal, pause); err != nil {
		f.noteDenied(j, err)
		return refusal
	}
	f.meter.Retry(j.service, why)
	f.traceStep(j.call, trace.NewRetried(why, pause))
	if clock.Rest(ctx, pause) != nil {
		return refusal
	}
	j.view = f.loop.View()
	return checkKey(j.view.Config(), j.call)
}

// retryPause returns how long to wait before the next attempt. It is zero while a
// target is left that was not tried.
func (f *Front) retryPause(j *job, a *attempts, refusal *model.Refusal) time.Duration {
	if j.call.Once() == "" {
		for _, m := range f.loop.View().Serving(j.service) {
			if !a.tried[m.Name()] {
				return 0
			}
		}
	}
	clear(a.tried)
	a.rounds++
	f.rndMu.Lock()
	defer f.rndMu.Unlock()
	return retry.Pause(f.rnd, a.rounds-1, refusal)
}

// chargeRetry takes what a retry costs: time and, when the last attempt reached a
// target, one of the budget and one of the ratio.
func (f *Front) chargeRetry(j *job, p *payload, a *attempts, refusal *model.Refusal, pause time.Duration) error {
	if !p.resendable() {
		return retry.NewError(retry.Consumed{})
	}
	if err := retry.Fits(time.Until(j.deadline), pause); err != nil {
		return err
	}
	if limit := j.route.Attempts(); limit > 0 && a.reached >= limit {
		return retry.NewError(retry.NoBudget{})
	}
	if isFree(refusal) {
		return a.checkFree()
	}
	if j.budget.Left() == 0 {
		return j.budget.Take()
	}
	if err := f.retryRatio.takeRetry(j.call.Org(), j.service); err != nil {
		return err
	}
	return j.budget.Take()
}

// checkFree bounds the attempts that reach no target.
func (a *attempts) checkFree() error {
	if a.free > maxFreeAttempts {
		return retry.NewError(retry.NoBudget{})
	}
	return nil
}

func (f *Front) noteDenied(j *job, err error) {
	var e *retry.Error
	if errors.As(err, &e) {
		f.meter.Deny(j.service, e.Why())
		f.traceStep(j.call, trace.NewDenied(e.Why()))
	}
}

func (f *Front) jitter(wait time.Duration) time.Duration {
	if wait == 0 {
		return 0
	}
	f.rndMu.Lock()
	defer f.rndMu.Unlock()
	return retry.Jitter(f.rnd, wait)
}
