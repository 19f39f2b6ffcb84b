package front

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/once"
	"anvilstand/core/retry"
	"anvilstand/core/route"
	"anvilstand/core/trace"
	"anvilstand/io/codec"
	"anvilstand/io/form"
)

// attempt sends a request to one target's daemon, with a part of the retries.
// An error is a refusal.
func (f *Front) attempt(ctx context.Context, j *job, p *parcel, t *tries) (*http.Response, error) {
	m, level, err := f.choose(j, t)
	if t.none = err != nil; t.none {
		f.met(j, level)
		return nil, err
	}
	t.tried[m.Name()], t.began = true, true
	f.note(j.call, trace.NewPicked(m.Name()))
	var part retry.Part
	j.budget.Lend(&part)
	call := j.call.WithLeft(time.Until(j.until)).WithBudget(part.Size()).WithService(j.service)
	from, unspent, err := f.reach(ctx, j, p, m, call, t)
	j.budget.Return(&part, unspent)
	if err != nil {
		f.picker.finish(m.Name(), endOf(ctx, err, t.heard))
		f.avoid(m.Name(), t.heard, refusalOf(err))
		f.note(j.call, trace.NewRefused(refusalOf(err)))
		return nil, err
	}
	from.Body = &closing{ReadCloser: from.Body, done: func() { f.picker.finish(m.Name(), route.Answered{}) }}
	return from, nil
}

// choose picks a target. A request with an idempotency key has only one.
func (f *Front) choose(j *job, t *tries) (fleet.Member, model.Place, error) {
	if j.call.Once() == "" {
		return f.picker.pick(*j, t.tried)
	}
	home, _ := once.Pair(j.view.Serving(j.service), once.Key(j.call.Once()))
	if home.Name() == "" {
		return home, model.Places, model.Refuse(model.NoTarget{}, 0)
	}
	f.picker.send(home.Name())
	return home, model.Places, nil
}

// learn takes what an answer's header reports of a target out of it.
func (f *Front) learn(j *job, name model.Instance, h http.Header) {
	if r, ok := takeReport(h); ok {
		f.picker.learn(*j, name, r)
		f.met(j, r.Level())
	}
}

// reach runs a request at the target beside this daemon, or sends it to another
// daemon. It also returns the retries that were not spent.
func (f *Front) reach(ctx context.Context, j *job, p *parcel, m fleet.Member, call model.Call, t *tries) (*http.Response, int, error) {
	t.heard = false
	out := f.outbound(ctx, j, p)
	if m.Name() == j.view.Self().Name() {
		setPath(out.URL, j.path)
		from, unspent, err := f.perform(ctx, call, out)
		t.heard = true
		if err == nil {
			f.learn(j, m.Name(), from.Header)
		}
		return from, unspent, err
	}
	out.URL.Scheme, out.URL.Host = "http", m.Address()
	setPath(out.URL, "/relay"+j.path)
	out.Header.Set(form.HeaderCall, codec.EncodeCall(call))
	out.Header.Set("Authorization", f.secret)
	from, err := f.exchange(out, p.stream != nil, f.peersFor(j))
	if err != nil {
		return nil, 0, err
	}
	if from.Header.Get(headerLeaving) != "" {
		f.aside.put(f.clock.Now(), m.Name(), leavingTime)
	}
	f.learn(j, m.Name(), from.Header)
	unspent, _ := strconv.Atoi(from.Header.Get(headerUnspent))
	if refusal, is := readRefusal(from); is {
		t.heard = true
		_ = from.Body.Close()
		return nil, unspent, refusal
	}
	dropOwn(from)
	return from, unspent, nil
}

// avoid sets a member aside whose daemon said that its target takes no work.
func (f *Front) avoid(name model.Instance, heard bool, r *model.Refusal) {
	if !heard {
		return
	}
	switch r.Reason().(type) {
	case model.Leaving, model.NoTarget, model.DomainOut:
		f.aside.put(f.clock.Now(), name, restTime)
	case model.NoKey, model.BadKey, model.NoRoute, model.BadRequest, model.TooLarge, model.OverRate, model.NoShare,
		model.Shed, model.QueueFull, model.Late, model.Poison, model.Repeat, model.Spent, model.Isolated, model.Declined,
		model.Broken, model.Canceled:
	}
}

func (f *Front) peersFor(j *job) http.RoundTripper {
	if j.route.Idempotent() {
		return f.peers
	}
	return f.freshPeers
}

// exchange sends a request to a peer and waits for its answer. Unless the body
// streams, a peer that is silent has lost the connection.
func (f *Front) exchange(out *http.Request, streams bool, t http.RoundTripper) (*http.Response, error) {
	if streams {
		out.Header.Set("Expect", "100-continue")
		from, _, err := send(t, out, nil)
		return from, err
	}
	ctx, cancel := context.WithCancelCause(out.Context())
	quiet := time.AfterFunc(silence, func() { cancel(errSilent) })
	from, _, err := send(t, out.WithContext(ctx), func() { quiet.Reset(silence) })
	quiet.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	from.Body = &closing{ReadCloser: from.Body, done: func() { cancel(nil) }}
	return from, nil
}

// outbound returns a request without the keys and without a place to go to.
func (f *Front) outbound(ctx context.Context, j *job, p *parcel) *http.Request {
	r := p.request
	out := (&http.Request{
		Method: r.Method,
		Host:   j.call.Host(),
		URL:    &url.URL{RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Header: make(http.Header, len(r.Header)+headersAdded),
	}).WithContext(ctx)
	copyHeader(out.Header, r.Header)
	f.form.Forward(out.Header, out.URL, j.ask.Keys(), form.NewOrigin(f.prefs.Service(), j.call.Org()))
	p.fill(out)
	return out
}

// headersAdded is how many headers are added on the way.
const headersAdded = 4

// closing calls done once when an answer's body is closed.
type closing struct {
	io.ReadCloser
	done func()
}

// Close closes the body.
func (c *closing) Close() error {
	if c.done != nil {
		c.done()
		c.done = nil
	}
	return c.ReadCloser.Close()
}
