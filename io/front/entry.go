package front

import (
	"context"
	"net/http"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/model"
	"anvilstand/core/retry"
	"anvilstand/core/trace"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
)

// job is a request on its way through the entry daemon.
type job struct {
	view           *ctrl.View
	call           model.Call
	service        model.Service
	route          conf.Route
	path           string
	ask            form.Ask
	budget         retry.Budget
	deadline       time.Time
	callerDeadline bool
	// parentToken is the token of the request for which the target makes this one,
	// and part what it got of that one's retries.
	parentToken string
	// fromTarget reports whether the target made the request for one that it runs.
	fromTarget bool
	parentPart retry.Part
}

// Callers serves callers: clients, and the target beside this daemon.
func (f *Front) Callers() http.Handler { return http.HandlerFunc(f.serveCaller) }

func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		// The server reads what is left of a body before it sends a refusal.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(f.prefs.Stall()))
	}
	f.active.begin()
	defer f.active.end()
	arrived := time.Now()
	j, err := f.accept(r)
	defer f.close(j.call.ID())
	started := false
	if err == nil {
		started, err = f.forward(w, r, j)
	}
	if err != nil {
		f.running.noteRefusal(j.parentToken)
	}
	if j.parentToken != "" {
		f.running.refund(j.parentToken, &j.parentPart, j.budget.Left())
	}
	f.recordTime(j, arrived, err)
	switch {
	case err == nil:
		f.meter.Serve(j.call.Org(), j.service)
	case started:
		f.meter.Refuse(j.call.Org(), refusalOf(err).Reason())
		f.traceStep(j.call, trace.Cut{})
		abort()
	default:
		f.refuse(w, j, refusalOf(err))
	}
}

// recordTime counts the time that a request took.
func (f *Front) recordTime(j *job, arrived time.Time, err error) {
	var refusal *model.Refusal
	if err != nil {
		refusal = refusalOf(err)
	}
	service := j.service
	if _, known := j.view.Config().Service(service); !known {
		service = "" // what callers make up is no label
	}
	f.meter.Took(service, time.Since(arrived), refusal)
}

func (f *Front) refuse(w http.ResponseWriter, j *job, refusal *model.Refusal) {
	refusal = refusal.WithWait(f.jitter(retry.Wait(refusal)))
	f.meter.Refuse(j.call.Org(), refusal.Reason())
	f.traceStep(j.call, trace.NewRefused(refusal))
	f.form.Refuse(w, j.call.ID(), refusal, f.leaving.Load())
}

// accept decides whether a request may go on at all: its route, its key and
// its organisation's share.
func (f *Front) accept(r *http.Request) (*job, error) {
	j := &job{view: f.loop.View()}
	var err error
	j.ask, err = f.form.Read(r)
	token := j.ask.Token()
	if token == "" {
		j.call = model.NewCall(j.id(), "", model.RankDefault)
		f.beginTrace(j.call.ID())
	}
	if err != nil {
		return j, err
	}
	if f.refusing.Load() && token == "" {
		return j, model.Refuse(model.Leaving{}, 0)
	}
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 does not tell an answer that breaks off from a whole one.
		return j, model.Refuse(model.BadRequest{}, 0)
	}
	if r.ContentLength > f.prefs.MaxBody() {
		return j, model.Refuse(model.TooLarge{}, 0)
	}
	if err := f.match(j, r); err != nil {
		return j, err
	}
	err = f.acceptCall(j, r, token)
	if err == nil {
		j.setIdempotencyID(r)
		f.traceStep(j.call, trace.NewAccepted(j.call.Org(), j.service, j.call.Rank()))
	}
	return j, err
}

func (f *Front) acceptCall(j *job, r *http.Request, token string) error {
	left := f.timeLeft(j)
	j.callerDeadline = j.ask.Left() > 0
	if token != "" {
		return f.acceptChild(j, token, left)
	}
	return f.acceptRoot(r.Context(), j, left)
}

func (f *Front) acceptChild(j *job, token string, left time.Duration) error {
	call, part, ok := f.running.childCall(token)
	if !ok {
		return model.Refuse(model.BadRequest{}, 0)
	}
	f.beginTrace(call.ID())
	j.parentToken, j.parentPart = token, part
	j.budget = retry.NewBudget(part.Size())
	j.call = call.WithOnce("").WithLeft(min(left, call.Left()))
	j.deadline = time.Now().Add(j.call.Left())
	return checkKey(j.view.Config(), j.call)
}

func (f *Front) acceptRoot(ctx context.Context, j *job, left time.Duration) error {
	org, tag, err := j.authenticate()
	if err != nil {
		return err
	}
	if j.view.Isolated(org, f.prefs.Isolation()) {
		return model.Refuse(model.Isolated{}, 0)
	}
	j.call = f.picker.assignOrder(model.NewCall(j.call.ID(), org, j.rank(org)).WithLeft(left)).WithHost(j.ask.Host())
	f.inheritPlace(j)
	j.deadline = time.Now().Add(left)
	j.budget = retry.NewBudget(f.prefs.Budget())
	if org == "" {
		return nil
	}
	j.call = j.call.WithKey(tag, j.view.Config().Revision())
	if err := f.takeToken(ctx, j, org); err != nil {
		return err
	}
	return checkKey(f.loop.View().Config(), j.call)
}

func (j *job) authenticate() (model.Org, string, error) {
	if j.route.Open() {
		return "", "", nil
	}
	if len(j.ask.Keys()) == 0 {
		return "", "", model.Refuse(model.NoKey{}, 0)
	}
	digest := conf.DigestOf(j.ask.Keys()[0])
	org, ok := j.view.Config().Holder(digest)
	if !ok {
		return "", "", model.Refuse(model.BadKey{}, 0)
	}
	return org, digest.Tag(), nil
}

// checkKey checks that the key of a call has not been withdrawn meanwhile. A
// daemon whose configuration is older than the one that accepted the key cannot
// tell, and takes the word of the other.
func checkKey(c *conf.Config, call model.Call) error {
	if call.Tag() == "" || c.Revision() < call.Revision() || c.Granted(call.Org(), call.Tag()) {
		return nil
	}
	return model.Refuse(model.BadKey{}, 0)
}

// takeToken takes a token of an organisation that is held to a rate.
func (f *Front) takeToken(ctx context.Context, j *job, org model.Org) error {
	if o, ok := j.view.Config().Org(org); ok && o.Unbounded() {
		return nil
	}
	return f.tokens.take(ctx, org)
}

func (j *job) rank(org model.Org) model.Rank {
	o, known := j.view.Config().Org(org)
	if known && o.Outranks() {
		rank, _ := j.route.Rank()
		return rank.Within(o.Rank())
	}
	if rank, ok := j.route.Rank(); ok {
		return rank
	}
	if known {
		return o.Rank()
	}
	return model.RankDefault
}

// timeLeft returns the time that a request has, by its caller and its route.
func (f *Front) timeLeft(j *job) time.Duration {
	left := f.prefs.Deadline()
	if asked := j.ask.Left(); asked > 0 {
		left = min(left, asked)
	}
	if limit := j.route.Timeout(); limit > 0 {
		left = min(left, limit)
	}
	return left
}
