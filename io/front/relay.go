package front

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"anvilstand/core/admit"
	"anvilstand/core/model"
	"anvilstand/core/trace"
	"anvilstand/io/codec"
	"anvilstand/io/form"
)

// Peers serves the other daemons' requests for the target beside this one.
func (f *Front) Peers() http.Handler { return http.HandlerFunc(f.servePeer) }

func (f *Front) servePeer(w http.ResponseWriter, r *http.Request) {
	f.work.begin()
	defer f.work.end()
	call, err := f.acceptPeer(r)
	if err != nil {
		form.WriteRefusal(w, refusalOf(err), nil)
		return
	}
	f.open(call.ID())
	defer f.close(call.ID())
	ctx, l := newLimit(r.Context(), call.Left(), f.prefs.Stall(), false)
	defer l.end()
	var b *beater
	if r.Header.Get("Expect") == "" {
		b = startBeat(w)
		defer b.end()
	}
	from, unspent, err := f.perform(ctx, call, inbound(ctx, call, r))
	b.end()
	if err != nil {
		f.note(call, trace.NewRefused(refusalOf(err)))
		form.WriteRefusal(w, refusalOf(err), func(h http.Header) {
			h.Set(headerUnspent, strconv.Itoa(unspent))
			h.Set(headerLevel, f.report(""))
			f.part(h)
		})
		return
	}
	defer from.Body.Close()
	from.Header.Set(headerUnspent, strconv.Itoa(unspent))
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
		from.Header.Set(headerLeaving, "true")
	}
	f.note(call, trace.NewAnswered(from.StatusCode))
	if err := answer(w, from, l); err != nil {
		f.note(call, trace.Cut{})
		abort()
	}
}

// part tells a peer that this daemon leaves, if it does.
func (f *Front) part(h http.Header) {
	if f.leaving.Load() {
		h.Set("Connection", "close")
		h.Set(headerLeaving, "true")
	}
}

func (f *Front) acceptPeer(r *http.Request) (model.Call, error) {
	if !f.isPeer(r) {
		return model.Call{}, model.Refuse(model.BadKey{}, 0)
	}
	call, err := codec.DecodeCall(r.Header.Get(form.HeaderCall))
	if err != nil {
		return call, model.Refuse(model.BadRequest{}, 0)
	}
	// The address may have been that of another service's daemon.
	if s := call.Service(); s != "" && s != f.prefs.Service() {
		return call, model.Refuse(model.NoTarget{}, 0)
	}
	return call, nil
}

// isPeer reports whether a request comes from another daemon.
func (f *Front) isPeer(r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(f.secret)) == 1
}

// inbound returns a peer's request as it goes to the target.
func inbound(ctx context.Context, call model.Call, r *http.Request) *http.Request {
	out := (&http.Request{
		Method: r.Method,
		Host:   call.Host(),
		URL:    &url.URL{RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Header: make(http.Header, len(r.Header)+headersAdded),
	}).WithContext(ctx)
	setPath(out.URL, strings.TrimPrefix(r.URL.EscapedPath(), "/relay"))
	copyHeader(out.Header, r.Header)
	delete(out.Header, "Authorization")
	delete(out.Header, form.HeaderCall)
	out.Body, out.ContentLength = &body{from: r.Body}, r.ContentLength
	return out
}

// visit is a request at the target beside this daemon.
type visit struct {
	front   *Front
	ticket  uint64
	token   string
	outcome admit.Outcome
}

// end gives the target's slot back and returns the retries not spent.
func (v *visit) end() int {
	v.front.ward.leave(v.ticket)
	v.front.gate.finish(v.ticket, v.outcome)
	return v.front.running.end(v.token)
}

// run admits a call, and sends its request to the target. It also returns the
// retries that were not spent.
func (f *Front) run(ctx context.Context, call model.Call, out *http.Request) (*http.Response, int, error) {
	if err := f.closed(); err != nil {
		return nil, call.Budget(), err
	}
	began := time.Now()
	ticket, err := f.gate.enter(ctx, call)
	if err != nil {
		return nil, call.Budget(), err
	}
	f.note(call, trace.NewAdmitted(time.Since(began)))
	if err := f.still(call); err != nil {
		f.gate.finish(ticket, admit.Abandoned{})
		return nil, call.Budget(), err
	}
	if err := f.ward.enter(ticket, call.Mark()); err != nil {
		f.gate.finish(ticket, admit.Abandoned{})
		return nil, call.Budget(), err
	}
	call = call.WithLeft(call.Left() - time.Since(began))
	v := &visit{front: f, ticket: ticket, token: f.running.begin(call), outcome: admit.Failed{}}
	from, err := f.visit(ctx, call, out, v)
	if err != nil {
		return nil, v.end(), err
	}
	from.Header.Set(headerLevel, f.report(v.token))
	f.ward.served(call.Mark())
	from.Body = &closing{ReadCloser: from.Body, done: func() { v.end() }}
	return from, f.running.settle(v.token), nil
}

// visit sends a request to the target and notes what that tells of the target.
func (f *Front) visit(ctx context.Context, call model.Call, out *http.Request, v *visit) (*http.Response, error) {
	f.address(out, call, v.token)
	sent, at := time.Now(), f.clock.Now()
	from, conn, err := send(f.targetFor(out.Method), out, nil)
	if err != nil {
		v.outcome = failureOf(ctx)
		f.beside.failed(ctx, err)
		f.ward.failed(v.ticket, err)
		return nil, err
	}
	told := f.form.Told(call, from)
	f.drain.note(told.Leaving(), at)
	f.beside.answered(told)
	if told.Foreign() {
		conn.drop()
		_ = from.Body.Close()
		return nil, model.Fail(model.Broken{})
	}
	if told.Declined() {
		v.outcome = admit.Rejected{}
		_ = from.Body.Close()
		return nil, model.Refuse(model.Declined{}, 0)
	}
	dropOwn(from)
	v.outcome = outcomeOf(from, time.Since(sent), f.running.refused(v.token))
	return from, nil
}

// outcomeOf returns what an answer says of the target. An error after a call
// below was refused says nothing of it.
func outcomeOf(from *http.Response, took time.Duration, below bool) admit.Outcome {
	if below && from.StatusCode >= http.StatusInternalServerError {
		return admit.Abandoned{}
	}
	if from.StatusCode == http.StatusServiceUnavailable || from.StatusCode == http.StatusTooManyRequests {
		return admit.Rejected{}
	}
	return admit.NewServed(took)
}

// address completes a request to the target: where it goes, the time it has,
// and the token for calls on its behalf.
func (f *Front) address(out *http.Request, call model.Call, token string) {
	out.URL.Scheme, out.URL.Host = f.base.Scheme, f.base.Host
	out.Header.Del("Expect")
	f.form.Address(out.Header, call, form.NewVisit(token, f.beside.id()))
}

func (f *Front) targetFor(method string) http.RoundTripper {
	if method == http.MethodGet || method == http.MethodHead {
		return f.target
	}
	return f.freshTarget
}
