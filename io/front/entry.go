package front

import (
	"context"
	"net/http"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/model"
	"anvilstand/core/retry"
	"anvilstand/core/route"
	"anvilstand/core/trace"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
)

// job is the state of one request at its entry daemon, the one that accepted it
// from the caller.
type job struct {
	view *ctrl.View
	call model.Call
	// keyOrg is the organisation by whose key the request or the root of its chain
	// entered, as targets are told. It is empty for a call without a token, although
	// the call may have the organisation of its parent.
	keyOrg   model.Org
	service  model.Service
	route    conf.Route
	pattern  route.Pattern // name of the route in the balancer
	path     string        // escaped, as forwarded to the target
	info     form.RequestInfo
	payload  *payload // nil before it is read
	budget   retry.Budget
	deadline time.Time
	// coversResponse is set if the deadline covers the response until its end (see
	// requestTimer): the caller gave one, or the route has a timeout.
	coversResponse bool
	enteredAt      model.Instant // set for a request that begins a chain
	// parentToken is the token of the running request on whose behalf the
	// target makes this one, empty if that is not known.
	parentToken string
	// maybeFromTarget is set when the target may be making the request on
	// behalf of one that it runs, without saying so.
	maybeFromTarget bool
	// parentPortion is the portion of the parent's retry budget that this
	// request may use.
	parentPortion retry.Portion
}

// CallerHandler returns the handler for callers: clients, and the target beside this
// daemon.
func (f *Front) CallerHandler() http.Handler { return http.HandlerFunc(f.serveCaller) }

func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(f.prefs.StallTimeout()))
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
		f.running.noteFailedCall(j.parentToken, refusalOf(err))
	}
	if j.parentToken != "" {
		f.running.returnPortion(j.parentToken, &j.parentPortion, j.budget.Left())
	}
	f.recordTime(j, arrived, err)
	switch {
	case err == nil:
		f.meter.CountServed(j.call.Org(), j.service)
	case started:
		f.meter.CountRefused(j.call.Org(), refusalOf(err).Reason())
		f.traceStep(j.call, trace.Truncated{})
		abort()
	default:
		f.refuseRequest(w, r, j, refusalOf(err))
	}
}

// recordTime records the duration of a request in the metrics.
func (f *Front) recordTime(j *job, arrived time.Time, err error) {
	var refusal *model.Refusal
	if err != nil {
		refusal = refusalOf(err)
	}
	service := j.service
	if _, known := j.view.Config().Service(service); !known {
		service = "" // a name made up by a caller must not become a label
	}
	f.meter.ObserveDuration(service, time.Since(arrived), refusal)
}

// refuse sends a refusal to the caller, with jitter added to the wait before a
// retry. If it is the last one on its connection, it says so.
func (f *Front) refuse(w http.ResponseWriter, j *job, refusal *model.Refusal, last bool) {
	refusal = refusal.WithWait(f.jitter(retry.RetryAfter(refusal)))
	f.meter.CountRefused(j.call.Org(), refusal.Reason())
	f.traceStep(j.call, trace.NewRefused(refusal))
	f.form.Refuse(w, j.info.GivenID(j.call.ID()), refusal, last)
}

// accept decides whether a request may be forwarded: it checks its form, its
// route, its key and the rate quota of its organisation. The returned job is
// never nil. The error is a *model.Refusal. If the parent token names no
// running request, the refusal has no request id and is not traced.
func (f *Front) accept(r *http.Request) (*job, error) {
	j := &job{view: f.loop.View()}
	var err error
	j.info, err = f.form.ReadRequest(r)
	parentToken := j.info.ParentToken()
	if parentToken == "" {
		j.call = model.NewCall(j.id(), "", model.RankDefault)
		f.beginTrace(j.call.ID())
	}
	if err != nil {
		return j, err
	}
	shuttingDown := f.shuttingDown()
	if shuttingDown && (!f.isDownstream(j.info) || f.waitsEnded()) {
		return j, model.Refuse(model.Leaving{}, 0)
	}
	if !r.ProtoAtLeast(1, 1) {
		// An HTTP/1.0 client cannot tell a truncated response from a complete
		// one.
		return j, model.Refuse(model.BadRequest{}, 0)
	}
	if r.ContentLength > f.maxBody() {
		return j, model.Refuse(model.TooLarge{}, 0)
	}
	if err := f.match(j, r); err != nil {
		return j, err
	}
	j.pattern = route.Pattern(j.route.Method() + " " + j.route.Prefix())
	if err := f.acceptCall(j, r, parentToken); err != nil {
		return j, err
	}
	j.setIdempotencyID(r)
	f.traceStep(j.call, trace.NewAccepted(j.call.Org(), j.service, j.call.Rank()))
	if shuttingDown {
		return j, f.checkStop(j)
	}
	return j, nil
}

// isDownstream reports whether a request names a request that the target runs as the
// one on whose behalf it is made.
func (f *Front) isDownstream(info form.RequestInfo) bool {
	if info.ParentToken() != "" {
		return true
	}
	_, _, ok := f.running.find(info.ParentID())
	return ok
}

// acceptCall sets the job's call and deadline, as acceptChild or acceptRoot does.
func (f *Front) acceptCall(j *job, r *http.Request, parentToken string) error {
	left := f.timeLeft(j)
	j.coversResponse = j.info.TimeLeft() > 0 || j.route.Timeout() > 0
	if parentToken != "" {
		return f.acceptChild(j, parentToken, left)
	}
	return f.acceptRoot(r.Context(), j, left)
}

// acceptChild accepts a request that the target makes on behalf of a running
// one. It continues the call of that one, without its idempotency key, and gets
// a portion of its retry budget. It takes no token of the rate quota: the request
// at the root of the chain has taken one.
func (f *Front) acceptChild(j *job, parentToken string, left time.Duration) error {
	call, portion, ok := f.running.childCall(parentToken)
	if !ok {
		return model.Refuse(model.BadRequest{}, 0)
	}
	f.beginTrace(call.ID())
	j.parentToken, j.parentPortion = parentToken, portion
	j.budget = retry.NewBudget(portion.Size())
	j.keyOrg = call.Org()
	j.call = call.WithIdempotencyID("").WithTimeLeft(min(left, call.TimeLeft()))
	j.deadline = time.Now().Add(j.call.TimeLeft())
	return checkKey(j.view.Config(), j.call)
}

// acceptRoot accepts a request that names no running request: it authenticates
// the caller and takes a token of the organisation's rate quota.
func (f *Front) acceptRoot(ctx context.Context, j *job, left time.Duration) error {
	org, tag, err := j.authenticate()
	if err != nil {
		return err
	}
	if j.view.RefusesIsolated(org, f.prefs.IsolationLimit()) {
		return model.Refuse(model.Isolated{}, 0)
	}
	j.keyOrg = org
	j.call = f.picker.assignOrder(model.NewCall(j.call.ID(), org, j.rank(org)).WithTimeLeft(left)).WithHost(j.info.Host())
	f.inheritParent(j)
	j.deadline = time.Now().Add(left)
	j.budget = retry.NewBudget(f.prefs.RetryBudget())
	if j.isRoot() {
		if err := f.entryShedder.offer(j); err != nil {
			return err
		}
	}
	if org == "" {
		return nil
	}
	j.call = j.call.WithKey(tag, j.view.Config().Revision())
	if err := f.takeToken(ctx, j, org); err != nil {
		return err
	}
	// The key may have been withdrawn during the wait for a token.
	return checkKey(f.loop.View().Config(), j.call)
}

// authenticate returns the organisation that owns the caller's key, and the tag
// of the key. Both are empty on an open route.
func (j *job) authenticate() (model.Org, string, error) {
	if j.route.Open() {
		return "", "", nil
	}
	if len(j.info.Keys()) == 0 {
		return "", "", model.Refuse(model.NoKey{}, 0)
	}
	digest := conf.DigestOf(j.info.Keys()[0])
	org, ok := j.view.Config().OrgByKey(digest)
	if !ok {
		return "", "", model.Refuse(model.BadKey{}, 0)
	}
	if o, _ := j.view.Config().Org(org); o.Unusable() {
		return "", "", model.Refuse(model.BadOrg{}, 0)
	}
	return org, digest.Tag(), nil
}

// checkKey refuses a call whose key has since been withdrawn. A daemon whose
// configuration is older than the revision that accepted the key cannot tell,
// and relies on the daemon that accepted it.
func checkKey(c *conf.Config, call model.Call) error {
	if call.KeyTag() == "" || c.Revision() < call.Revision() || c.HasKeyTag(call.Org(), call.KeyTag()) {
		return nil
	}
	return model.Refuse(model.BadKey{}, 0)
}

// takeToken takes a token of the organisation's rate quota, unless its rate is
// unlimited.
func (f *Front) takeToken(ctx context.Context, j *job, org model.Org) error {
	if o, ok := j.view.Config().Org(org); ok && o.Unlimited() {
		return nil
	}
	return f.tokens.take(ctx, org)
}

// rank returns the request's priority: that of its route, or else that of its
// organisation. If the organisation's rank goes first, the route's rank counts
// only among requests of organisations of the same rank.
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

// timeLeft returns the time until the request's deadline: the shortest of the
// daemon's default, the caller's deadline and the route's timeout.
func (f *Front) timeLeft(j *job) time.Duration {
	left := f.prefs.Deadline()
	if requested := j.info.TimeLeft(); requested > 0 {
		left = min(left, requested)
	}
	if limit := j.route.Timeout(); limit > 0 {
		left = min(left, limit)
	}
	return left
}
