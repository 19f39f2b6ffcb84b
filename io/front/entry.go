package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// job is a request on its way through the entry daemon.
type job struct {
	view    *ctrl.View
	call    model.Call
	service model.Service
	route   conf.Route
	path    string
	key     string
	parent  string // token of the request that the target makes the call for
}

// Callers serves callers: clients, and the target beside this daemon.
func (f *Front) Callers() http.Handler { return http.HandlerFunc(f.serveCaller) }

func (f *Front) serveCaller(w http.ResponseWriter, r *http.Request) {
	j, err := f.accept(r)
	if err == nil {
		err = f.forward(w, r, j)
	}
	if err != nil {
		refusal := refusalOf(err)
		f.running.refuse(j.parent)
		f.meter.Refuse(j.call.Org(), refusal.Reason())
		writeRefusal(w, refusal)
		return
	}
	f.meter.Serve(j.call.Org(), j.service)
}

// accept decides whether a request may go on at all: its route, its key and
// its organisation's share.
func (f *Front) accept(r *http.Request) (job, error) {
	j := job{view: f.loop.View(), key: keyOf(r)}
	if r.ContentLength > f.prefs.MaxBody() {
		return j, model.Refuse(model.TooLarge{}, 0)
	}
	if err := j.match(r); err != nil {
		return j, err
	}
	if token := r.Header.Get(headerCall); token != "" {
		return f.acceptChild(j, token)
	}
	return f.acceptRoot(j, r)
}

func (j *job) match(r *http.Request) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	j.service, j.path = model.Service(name), "/"+rest
	service, ok := j.view.Config().Service(j.service)
	if !ok {
		return model.Refuse(model.NoRoute{}, 0)
	}
	if j.route, ok = service.Match(r.Method, j.path); !ok {
		return model.Refuse(model.NoRoute{}, 0)
	}
	return nil
}

func (f *Front) acceptChild(j job, token string) (job, error) {
	call, ok := f.running.child(token)
	if !ok {
		return j, model.Refuse(model.BadRequest{}, 0)
	}
	j.call, j.parent = call, token
	return j, nil
}

func (f *Front) acceptRoot(j job, r *http.Request) (job, error) {
	org, err := j.holder()
	if err != nil {
		return j, err
	}
	if j.view.Isolated(org, f.prefs.Isolation()) {
		return j, model.Refuse(model.Isolated{}, 0)
	}
	j.call = model.NewCall(model.Request(randomID()), org, j.rank(org))
	left, err := f.timeLeft(r)
	if err != nil {
		return j, err
	}
	j.call = f.picker.order(j.call.WithLeft(left).WithBudget(f.prefs.Budget()))
	if org == "" {
		return j, nil
	}
	return j, f.purse.spend(r.Context(), org)
}

func (j *job) holder() (model.Org, error) {
	if j.route.Open() {
		return "", nil
	}
	if j.key == "" {
		return "", model.Refuse(model.NoKey{}, 0)
	}
	org, ok := j.view.Config().Holder(conf.DigestOf(j.key))
	if !ok {
		return "", model.Refuse(model.BadKey{}, 0)
	}
	return org, nil
}

func (j *job) rank(org model.Org) model.Rank {
	if rank, ok := j.route.Rank(); ok {
		return rank
	}
	if o, ok := j.view.Config().Org(org); ok {
		return o.Rank()
	}
	return model.RankDefault
}

func (f *Front) timeLeft(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return f.prefs.Deadline(), nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, model.Refuse(model.BadRequest{}, 0)
	}
	return min(f.prefs.Deadline(), time.Duration(n)*time.Millisecond), nil
}

// forward sends a request to a target's daemon and passes the answer on. It
// tries another target when the first did not run the request, or when running
// it twice does no harm, as far as the budget and the deadline go.
func (f *Front) forward(w http.ResponseWriter, r *http.Request, j job) error {
	ctx, cancel := context.WithTimeout(r.Context(), j.call.Left())
	defer cancel()
	p, err := newParcel(r, f.prefs.MaxBody())
	if err != nil {
		return err
	}
	j.call = mark(j, r, p)
	tried := map[model.Instance]bool{}
	for broken := 0; ; {
		from, err := f.attempt(ctx, j, p, tried)
		if err == nil {
			defer from.Body.Close()
			answer(w, from)
			return nil
		}
		why, again := retryReason(err, j, p)
		if _, unknown := refusalOf(err).Run().(model.MayHaveRun); unknown {
			broken++
		}
		if !again || broken > maxBroken || ctx.Err() != nil {
			return err
		}
		f.meter.Retry(j.service, why)
		j.call = j.call.WithBudget(j.call.Budget() - 1)
	}
}

func retryReason(err error, j job, p *parcel) (model.Retry, bool) {
	refusal := refusalOf(err)
	if j.call.Budget() <= 0 || !p.again() {
		return nil, false
	}
	switch refusal.Run().(type) {
	case model.NotRun:
		return model.RetryRefused{}, elsewhere(refusal.Reason())
	case model.MayHaveRun:
		return model.RetryIdempotent{}, j.route.Idempotent()
	}
	return nil, false
}

// maxBroken is the number of attempts that may have run after which a request
// is tried once more. It bounds the targets that a killing request reaches.
const maxBroken = 1

// elsewhere reports whether another target may do what one refused for a
// reason. Shedding holds for the service.
func elsewhere(r model.Reason) bool {
	_, none := r.(model.NoTarget)
	_, shed := r.(model.Shed)
	_, poison := r.(model.Poison)
	return !none && !shed && !poison
}
