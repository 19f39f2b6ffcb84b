package front

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/core/retry"
	"anvilstand/core/trace"
)

// attempts records the attempts of one request at its entry daemon.
type attempts struct {
	tried  map[model.Instance]bool
	rounds int // times that all targets were tried, for the backoff
	// hadTarget is set once a target could be chosen.
	hadTarget bool
	// mayHaveRun is set once an attempt may have run the request.
	mayHaveRun bool
	// noTarget is set if no target could be chosen for the last attempt.
	noTarget bool
	// fromTargetDaemon is set if the daemon beside the target, which may be this
	// one, decided the outcome of the last attempt. Otherwise that daemon could
	// not be reached, or the connection to it failed.
	fromTargetDaemon bool
	// uncharged counts the attempts that cost no target any work, charged the
	// others.
	uncharged, charged int
	// mayHaveRunCount counts the attempts that may have run.
	mayHaveRunCount int
}

// maxMayHaveRunRetries is how often one request is retried after an attempt that
// may have run. It limits how many targets a request that crashes its target can
// reach.
const maxMayHaveRunRetries = 1

// maxUnchargedRetries is how often one request is retried after an attempt that
// cost no target any work.
const maxUnchargedRetries = 6

// note records how an attempt ended.
func (a *attempts) note(r *model.Refusal) {
	if isUncharged(r) {
		a.uncharged++
	} else {
		a.charged++
	}
	if _, mayHaveRun := r.Run().(model.MayHaveRun); mayHaveRun {
		a.mayHaveRun = true
		a.mayHaveRunCount++
	}
}

// isUncharged reports whether an attempt cost no target any work: none was
// reached, or the daemon beside it refused. A retry after it takes nothing from
// the budget or the throttle.
func isUncharged(r *model.Refusal) bool {
	_, declined := r.Reason().(model.Declined)
	_, notRun := r.Run().(model.NotRun)
	return notRun && !declined
}

// callerRefusal returns the refusal for the caller. If any attempt may have run,
// it says so even if the last one did not run.
func (a *attempts) callerRefusal(r *model.Refusal) *model.Refusal {
	if a.mayHaveRun {
		return r.WithRun(model.MayHaveRun{})
	}
	return r
}

// forward sends a request to a target and passes the response on to the caller.
// It retries when an attempt did not run, or when running the request twice
// does no harm, within the retry budget, the retry throttle and the deadline.
// It reports whether a response began.
func (f *Front) forward(w http.ResponseWriter, r *http.Request, j *job) (bool, error) {
	p, err := f.readPayload(w, r, j)
	if err != nil {
		return false, err
	}
	defer p.release()
	j.payload = p
	ctx, timer := newRequestTimer(r.Context(), time.Until(j.deadline), f.prefs.StallTimeout(), j.coversResponse)
	defer timer.stop()
	defer p.interruptOn(ctx)()
	f.watchCaller(r, p, timer)
	f.retryThrottle.addRequest(j.call.Org(), j.service)
	j.call = withFingerprint(*j, r, p)
	a := &attempts{tried: map[model.Instance]bool{}}
	f.avoided.markTried(f.clock.Now(), usualMembers(j.view, j.service), a.tried)
	for {
		resp, err := f.attempt(ctx, j, p, a)
		if err == nil {
			defer resp.Body.Close()
			return true, f.relayResponse(ctx, w, resp, j, timer)
		}
		a.note(refusalOf(err))
		if err := f.prepareRetry(ctx, j, p, a, err); err != nil {
			return false, a.callerRefusal(refusalOf(err))
		}
	}
}

// readPayload reads the body of a request if it is to be buffered. A body that arrives
// while a planned stop begins to refuse new requests may come too late to be sent on.
func (f *Front) readPayload(w http.ResponseWriter, r *http.Request, j *job) (*payload, error) {
	shuttingDown := f.shuttingDown()
	p, err := newPayload(w, r, f.maxBody(), f.prefs.StallTimeout(), j.deadline, f.bodies)
	if err != nil || shuttingDown {
		return p, err
	}
	if err := f.checkStop(j); err != nil {
		p.release()
		return nil, err
	}
	return p, nil
}

// relayResponse passes a response on to the caller.
func (f *Front) relayResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response, j *job, timer *requestTimer) error {
	f.traceStep(j.call, trace.NewAnswered(resp.StatusCode))
	f.form.AddResponseHeaders(resp.Header, j.call.ID())
	if err := writeResponse(ctx, w, resp, j.payload, timer, f.answers); err != nil {
		return failure(ctx, true)
	}
	return nil
}

// prepareRetry waits for the backoff and returns nil if the request may be
// retried. Otherwise it returns the refusal for the caller. Only a retry that the
// reason of the refusal allows is counted and traced when it is denied.
func (f *Front) prepareRetry(ctx context.Context, j *job, p *payload, a *attempts, err error) error {
	refusal := refusalOf(err)
	if readErr, ok := p.readFailure(refusal.Run()); ok {
		return readErr
	}
	if !a.hadTarget || a.noTarget || f.waitsEnded() {
		return refusal
	}
	reason, ok := retry.Allowed(refusal, j.route.Idempotent() || j.call.IdempotencyID() != "")
	if !ok || a.mayHaveRunCount > maxMayHaveRunRetries {
		return refusal
	}
	backoff := f.backoff(j, a, refusal)
	if err := f.chargeRetry(j, p, a, refusal, backoff); err != nil {
		f.noteDenied(j, err)
		return refusal
	}
	f.meter.CountRetry(j.service, reason)
	f.traceStep(j.call, trace.NewRetried(reason, backoff))
	if !f.pause(ctx, backoff) {
		return refusal
	}
	j.view = f.loop.View()
	return checkKey(j.view.Config(), j.call)
}

// pause waits for the backoff. It returns false if ctx or the time for waits has ended.
func (f *Front) pause(ctx context.Context, backoff time.Duration) bool {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.waitsEnd:
	case <-timer.C:
	}
	return ctx.Err() == nil && !f.waitsEnded()
}

// backoff returns how long to wait before the next attempt: zero while there is
// an untried target, and an exponential backoff once all have been tried. A
// request with an idempotency key has only one target.
func (f *Front) backoff(j *job, a *attempts, refusal *model.Refusal) time.Duration {
	if j.call.IdempotencyID() == "" {
		if hasUntried(usualMembers(f.loop.View(), j.service), a.tried) {
			return 0
		}
	}
	clear(a.tried)
	a.rounds++
	f.rndMu.Lock()
	defer f.rndMu.Unlock()
	return retry.Backoff(f.rnd, a.rounds-1, refusal)
}

// chargeRetry reclaims the body, so that it can be sent again, and checks that the
// deadline leaves time and that the route allows another attempt. If the last attempt
// cost a target work, it takes one retry from the request's budget and one token from
// the throttle of the organisation and service. Its error is a *retry.Error.
func (f *Front) chargeRetry(j *job, p *payload, a *attempts, refusal *model.Refusal, backoff time.Duration) error {
	if !p.reclaim() {
		return retry.NewError(retry.BodyConsumed{})
	}
	if err := retry.CheckDeadline(time.Until(j.deadline), backoff); err != nil {
		return err
	}
	if limit := j.route.AttemptLimit(); limit > 0 && a.charged >= limit {
		return retry.NewError(retry.NoBudget{})
	}
	if isUncharged(refusal) {
		return a.checkUncharged()
	}
	// A request without budget must take no token of the throttle.
	if j.budget.Left() == 0 {
		return j.budget.Take()
	}
	if err := f.retryThrottle.take(j.call.Org(), j.service); err != nil {
		return err
	}
	return j.budget.Take()
}

// checkUncharged limits the retries after attempts that cost no target any work.
func (a *attempts) checkUncharged() error {
	if a.uncharged > maxUnchargedRetries {
		return retry.NewError(retry.NoBudget{})
	}
	return nil
}

// noteDenied records why a request is not retried.
func (f *Front) noteDenied(j *job, err error) {
	var e *retry.Error
	if errors.As(err, &e) {
		f.meter.CountDenied(j.service, e.DenyReason())
		f.traceStep(j.call, trace.NewRetryDenied(e.DenyReason()))
	}
}

// jitter lengthens a wait by a random part of up to half of it. Zero stays zero.
func (f *Front) jitter(wait time.Duration) time.Duration {
	if wait == 0 {
		return 0
	}
	f.rndMu.Lock()
	defer f.rndMu.Unlock()
	return retry.Jitter(f.rnd, wait)
}
