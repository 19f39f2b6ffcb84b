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

// attempt sends a request to one target through the daemon beside it, with a
// portion of the retry budget. An error is a *model.Refusal.
func (f *Front) attempt(ctx context.Context, j *job, p *payload, a *attempts) (*http.Response, error) {
	m, level, err := f.chooseTarget(j, a)
	if a.noTarget = err != nil; a.noTarget {
		f.noteLevel(j, level)
		return nil, err
	}
	a.tried[m.Name()], a.hadTarget = true, true
	f.traceStep(j.call, trace.NewPicked(m.Name()))
	var portion retry.Portion
	j.budget.Split(&portion)
	call := j.call.WithTimeLeft(time.Until(j.deadline)).WithBudget(portion.Size()).WithService(j.service)
	resp, unspent, err := f.runAttempt(ctx, j, p, m, call, a)
	f.noteAnswer(j, m, resp, err, a.fromTargetDaemon)
	j.budget.Return(&portion, unspent)
	if err != nil {
		f.picker.finish(m.Name(), attemptOutcome(ctx, err, a.fromTargetDaemon))
		f.avoidMember(m.Name(), a.fromTargetDaemon, refusalOf(err))
		f.traceStep(j.call, trace.NewRefused(refusalOf(err)))
		if m.Name() != j.view.Self().Name() {
			err = peerRefusal(refusalOf(err))
		}
		return nil, err
	}
	dropDaemonHeaders(resp)
	resp.Body = &closeNotifier{ReadCloser: resp.Body, onClose: func() { f.picker.finish(m.Name(), route.Answered{}) }}
	return resp, nil
}

// peerRefusal returns the refusal of another daemon as it concerns the caller. A daemon that
// finds a relayed request malformed, for example one of an earlier build, says nothing about
// the caller's request: another daemon may take it.
func peerRefusal(r *model.Refusal) *model.Refusal {
	_, malformed := r.Reason().(model.BadRequest)
	_, notRun := r.Run().(model.NotRun)
	if malformed && notRun {
		return model.Refuse(model.NoTarget{}, 0)
	}
	return r
}

// chooseTarget picks a target. A request with an idempotency key always goes to
// the primary of the key's pair. When a level refused the request, it is
// returned with the error; otherwise it is PositionCount, which admits all.
func (f *Front) chooseTarget(j *job, a *attempts) (fleet.Member, model.Position, error) {
	if j.call.IdempotencyID() == "" {
		return f.pickTarget(j, a)
	}
	primary, _ := once.Pair(usualMembers(j.view, j.service), once.Key(j.call.IdempotencyID()))
	if primary.Name() == "" {
		return primary, model.PositionCount, model.Refuse(model.NoTarget{}, 0)
	}
	f.picker.startAttempt(primary.Name())
	return primary, model.PositionCount, nil
}

// learnReport records the load report of a target, removing it from a response's
// headers.
func (f *Front) learnReport(j *job, name model.Instance, h http.Header) {
	if r, ok := popReport(h); ok {
		f.picker.update(*j, name, r)
		f.noteLevel(j, r.Level())
	}
}

// runAttempt runs a request at the target beside this daemon, or relays it to
// the daemon m. It also returns the unspent retries.
func (f *Front) runAttempt(ctx context.Context, j *job, p *payload, m fleet.Member, call model.Call, a *attempts) (*http.Response, int, error) {
	a.fromTargetDaemon = false
	out := f.outboundRequest(j, p)
	if m.Name() == j.view.Self().Name() {
		setPath(out.URL, j.path)
		a.fromTargetDaemon = true
		resp, unspent, err := f.runHere(ctx, call, out, f.meantVersion(j, m))
		if err == nil {
			f.learnReport(j, m.Name(), resp.Header)
			f.learnChain(j, resp)
		}
		return resp, unspent, err
	}
	out.URL.Scheme, out.URL.Host = "http", m.Address()
	setPath(out.URL, "/relay"+j.path)
	out.Header.Set(form.HeaderCall, codec.EncodeCall(call))
	if values := out.Header["Authorization"]; len(values) > 0 {
		out.Header[headerCallerAuthorization] = values
	}
	out.Header.Set("Authorization", f.peerAuthorization)
	if version := f.meantVersion(j, m); version != "" {
		out.Header.Set(headerVersion, version)
	}
	f.relayed.begin(m.Address(), call.ID())
	resp, err := f.roundTripToPeer(ctx, out, p.stream != nil, f.peerTransportFor(j))
	f.relayed.end(m.Address(), call.ID())
	if err != nil {
		f.withdrawLeft(ctx, j, p, m.Address())
		return nil, 0, err
	}
	if resp.Header.Get(headerLeaving) != "" {
		f.avoided.add(f.clock.Now(), m.Name(), drainingAvoidTime)
	}
	f.learnReport(j, m.Name(), resp.Header)
	unspent, _ := strconv.Atoi(resp.Header.Get(headerUnspent))
	if refusal, ok := readRefusal(resp); ok {
		a.fromTargetDaemon = true
		_ = resp.Body.Close()
		return nil, unspent, refusal
	}
	f.learnChain(j, resp)
	return resp, unspent, nil
}

// avoidMember stops new requests to a member for refusedAvoidTime when its
// daemon, which may be this one, refused because its target takes no work.
func (f *Front) avoidMember(name model.Instance, fromTargetDaemon bool, r *model.Refusal) {
	if !fromTargetDaemon {
		return
	}
	switch r.Reason().(type) {
	case model.Leaving, model.NoTarget, model.DomainOut:
		f.avoided.add(f.clock.Now(), name, refusedAvoidTime)
	case model.NoKey, model.BadKey, model.NoRoute, model.BadRequest, model.TooLarge, model.OverRate, model.NoToken,
		model.Shed, model.QueueFull, model.Late, model.Poison, model.Repeat, model.Spent, model.Isolated, model.BadOrg, model.Declined,
		model.Broken, model.Canceled:
	}
}

// peerTransportFor returns the transport for a request's route. Only requests on
// idempotent routes may be sent on a connection that the peer may have closed.
func (f *Front) peerTransportFor(j *job) http.RoundTripper {
	if j.route.Idempotent() {
		return f.peerTransport
	}
	return f.freshPeerTransport
}

// roundTripToPeer sends a request to a peer and waits for the response. Unless
// the body streams, the connection counts as lost when the peer sends neither a
// response nor an interim response (status 102) for peerSilenceTimeout.
func (f *Front) roundTripToPeer(ctx context.Context, out *http.Request, streams bool, t http.RoundTripper) (*http.Response, error) {
	if streams {
		out.Header.Set("Expect", "100-continue")
		// The transport waits for status 100 only with a request of this version.
		out.ProtoMajor, out.ProtoMinor = 1, 1
		resp, _, err := roundTrip(ctx, t, out, nil)
		return resp, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	silenceTimer := time.AfterFunc(peerSilenceTimeout, func() { cancel(errSilent) })
	resp, _, err := roundTrip(ctx, t, out, func() { silenceTimer.Reset(peerSilenceTimeout) })
	silenceTimer.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	resp.Body = &closeNotifier{ReadCloser: resp.Body, onClose: func() { cancel(nil) }}
	return resp, nil
}

// outboundRequest returns the request to send, without the caller's keys and
// without scheme, host, path and context.
func (f *Front) outboundRequest(j *job, p *payload) *http.Request {
	r := p.request
	out := &http.Request{
		Method: r.Method,
		Host:   j.call.Host(),
		URL:    &url.URL{RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Header: make(http.Header, len(r.Header)+maxAddedHeaders),
	}
	copyHeader(out.Header, r.Header)
	delete(out.Header, headerVersion)
	delete(out.Header, headerCallerAuthorization)
	f.form.Forward(out.Header, out.URL, j.info.Keys(), form.NewOrigin(f.prefs.Service(), j.keyOrg))
	p.attachTo(out)
	return out
}

// maxAddedHeaders is how many headers a daemon adds to a request, for sizing
// maps.
const maxAddedHeaders = 4

// closeNotifier calls onClose once, when a response body is closed.
type closeNotifier struct {
	io.ReadCloser
	onClose func()
}

// Close calls onClose and closes the body.
func (c *closeNotifier) Close() error {
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
	return c.ReadCloser.Close()
}
