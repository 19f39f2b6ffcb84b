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

// tries is what an entry daemon remembers of the attempts of one request.
type tries struct {
	tried  map[model.Instance]bool
	rounds int
	// began reports whether there was a target to try.
	began bool
	// unknown reports whether an attempt may have run.
	unknown bool
	// none reports whether no target could be chosen for the last attempt.
	none bool
	// heard reports whether the last attempt ended by the word of the target's
	// daemon.
	heard bool
	// free counts the attempts that reached no target, and reached the others.
	free, reached int
	// broken counts the attempts that may have run.
	broken int
}

// maxBroken is the number of attempts that may have run after which a request
// is tried once more. It bounds the targets that a killing request reaches.
const maxBroken = 1

// maxFree is the number of attempts that reach no target after which a request
// is not tried again.
const maxFree = 6

// take notes how an attempt ended.
func (t *tries) take(r *model.Refusal) {
	if isFree(r) {
		t.free++
	} else {
		t.reached++
	}
	if _, may := r.Run().(model.MayHaveRun); may {
		t.unknown = true
		t.broken++
	}
}

// isFree reports whether an attempt reached no target, and cost none anything.
func isFree(r *model.Refusal) bool {
	_, declined := r.Reason().(model.Declined)
	_, not := r.Run().(model.NotRun)
	return not && !declined
}

// report returns the refusal for the caller. A request of which an earlier
// attempt may have run is not reported as not run.
func (t *tries) report(r *model.Refusal) *model.Refusal {
	if t.unknown {
		return r.WithRun(model.MayHaveRun{})
	}
	return r
}

// forward sends a request to a target's daemon and passes the answer on. It
// tries another target when the first did not run the request, or when running
// it twice does no harm, as far as the budget, the ratio and the deadline go.
// It reports whether an answer began.
func (f *Front) forward(w http.ResponseWriter, r *http.Request, j *job) (bool, error) {
	p, err := newParcel(w, r, f.prefs.MaxBody(), f.prefs.Stall())
	if err != nil {
		return false, err
	}
	ctx, l := newLimit(r.Context(), time.Until(j.until), f.prefs.Stall(), j.firm)
	defer l.end()
	f.ratio.fresh(j.call.Org(), j.service)
	j.call = mark(*j, r, p)
	t := &tries{tried: map[model.Instance]bool{}}
	f.aside.mark(f.clock.Now(), j.view.Serving(j.service), t.tried)
	for {
		from, err := f.attempt(ctx, j, p, t)
		if err == nil {
			defer from.Body.Close()
			return true, f.pass(ctx, w, from, j, l)
		}
		t.take(refusalOf(err))
		if err := f.again(ctx, j, p, t, err); err != nil {
			return false, t.report(refusalOf(err))
		}
	}
}

func (f *Front) pass(ctx context.Context, w http.ResponseWriter, from *http.Response, j *job, l *limit) error {
	f.note(j.call, trace.NewAnswered(from.StatusCode))
	f.form.Mark(from.Header, j.call.ID())
	if err := answer(w, from, l); err != nil {
		return failure(ctx, true)
	}
	return nil
}

// again returns nil when the request may be tried once more, after the pause
// that is due, and otherwise the refusal for the caller.
func (f *Front) again(ctx context.Context, j *job, p *parcel, t *tries, err error) error {
	refusal := refusalOf(err)
	if !t.began || t.none {
		return refusal
	}
	if fault, is := p.fault(refusal.Run()); is {
		return fault
	}
	why, ok := retry.Reason(refusal, j.route.Idempotent() || j.call.Once() != "")
	if !ok || t.broken > maxBroken {
		return refusal
	}
	pause := f.pause(j, t, refusal)
	if err := f.allow(j, p, t, refusal, pause); err != nil {
		f.deny(j, err)
		return refusal
	}
	f.meter.Retry(j.service, why)
	f.note(j.call, trace.NewRetried(why, pause))
	if clock.Rest(ctx, pause) != nil {
		return refusal
	}
	j.view = f.loop.View()
	return granted(j.view.Config(), j.call)
}

// pause returns how long to wait before the next attempt. It is zero while a
// target is left that was not tried.
func (f *Front) pause(j *job, t *tries, refusal *model.Refusal) time.Duration {
	if j.call.Once() == "" {
		for _, m := range f.loop.View().Serving(j.service) {
			if !t.tried[m.Name()] {
				return 0
			}
		}
	}
	clear(t.tried)
	t.rounds++
	f.rndMu.Lock()
	defer f.rndMu.Unlock()
	return retry.Pause(f.rnd, t.rounds-1, refusal)
}

// allow takes what a retry costs: time and, when the last attempt reached a
// target, one of the budget and one of the ratio.
func (f *Front) allow(j *job, p *parcel, t *tries, last *model.Refusal, pause time.Duration) error {
	if !p.again() {
		return retry.NewError(retry.Consumed{})
	}
	if err := retry.Fits(time.Until(j.until), pause); err != nil {
		return err
	}
	if most := j.route.Attempts(); most > 0 && t.reached >= most {
		return retry.NewError(retry.NoBudget{})
	}
	if isFree(last) {
		return t.allowFree()
	}
	if j.budget.Left() == 0 {
		return j.budget.Take()
	}
	if err := f.ratio.retry(j.call.Org(), j.service); err != nil {
		return err
	}
	return j.budget.Take()
}

// allowFree bounds the attempts that reach no target.
func (t *tries) allowFree() error {
	if t.free > maxFree {
		return retry.NewError(retry.NoBudget{})
	}
	return nil
}

func (f *Front) deny(j *job, err error) {
	var e *retry.Error
	if errors.As(err, &e) {
		f.meter.Deny(j.service, e.Why())
		f.note(j.call, trace.NewDenied(e.Why()))
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
