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
	"anvilstand/core/load"
	"anvilstand/core/model"
	"anvilstand/core/trace"
	"anvilstand/io/codec"
	"anvilstand/io/form"
)

// RelayHandler returns the handler for requests that other daemons relay to the
// target beside this one.
func (f *Front) RelayHandler() http.Handler { return http.HandlerFunc(f.servePeer) }

func (f *Front) servePeer(w http.ResponseWriter, r *http.Request) {
	f.active.begin()
	defer f.active.end()
	call, err := f.acceptPeer(r)
	if err != nil {
		form.WriteRefusal(w, refusalOf(err), nil)
		return
	}
	f.beginTrace(call.ID())
	defer f.close(call.ID())
	// A body that is in lets the server notice that the entry daemon has given up.
	p, err := newPayload(w, r, noBodyLimit, f.prefs.StallTimeout(), time.Now().Add(call.TimeLeft()), f.bodies)
	if err != nil {
		form.WriteRefusal(w, refusalOf(err), nil)
		return
	}
	defer p.release()
	ctx, timer := newRequestTimer(r.Context(), call.TimeLeft(), f.prefs.StallTimeout(), false)
	defer timer.stop()
	defer p.interruptOn(ctx)()
	f.watchCaller(r, p, timer)
	var interim *interimSender
	if r.Header.Get("Expect") == "" {
		interim = startInterim(w)
		defer interim.stop()
	}
	resp, unspent, err := f.runHere(ctx, call, relayedRequest(call, r, p), r.Header.Get(headerVersion))
	interim.stop()
	if err != nil {
		f.traceStep(call, trace.NewRefused(refusalOf(err)))
		form.WriteRefusal(w, refusalOf(err), func(h http.Header) {
			h.Set(headerUnspent, strconv.Itoa(unspent))
			h.Set(headerLevel, f.levelHeader(""))
			f.markDraining(h)
		})
		return
	}
	defer resp.Body.Close()
	resp.Header.Set(headerUnspent, strconv.Itoa(unspent))
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
		resp.Header.Set(headerLeaving, "true")
	}
	f.traceStep(call, trace.NewAnswered(resp.StatusCode))
	if err := writeResponse(r.Context(), w, resp, p, timer, f.answers); err != nil {
		f.traceStep(call, trace.Truncated{})
		abort()
	}
}

// markDraining sets the headers that tell a peer that this daemon drains, if it
// does.
func (f *Front) markDraining(h http.Header) {
	if f.draining.Load() {
		h.Set("Connection", "close")
		h.Set(headerLeaving, "true")
	}
}

// acceptPeer checks that a request comes from a daemon and is meant for the
// service of this one, and returns its call. The entry daemon sees a wrong secret and
// another service as NoTarget, and a malformed call as BadRequest. These refusals are not
// traced here.
func (f *Front) acceptPeer(r *http.Request) (model.Call, error) {
	if !f.isPeer(r) {
		return model.Call{}, unknownPeer()
	}
	call, err := codec.DecodeCall(r.Header.Get(form.HeaderCall))
	if err != nil {
		return call, model.Refuse(model.BadRequest{}, 0)
	}
	// The address may since have passed from the daemon of another service to
	// this one.
	if s := call.Service(); s != "" && s != f.prefs.Service() {
		return call, model.Refuse(model.NoTarget{}, 0)
	}
	return call, nil
}

// unknownPeer returns the refusal of a message with a wrong secret. It says nothing of the
// caller's key: another daemon may accept the message.
func unknownPeer() *model.Refusal { return model.Refuse(model.NoTarget{}, 0) }

// isPeer reports whether a request carries the secret of the daemons.
func (f *Front) isPeer(r *http.Request) bool {
	return subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(f.peerAuthorization)) == 1
}

// relayedRequest returns the request of a peer as it is sent to the target, without a
// context.
func relayedRequest(call model.Call, r *http.Request, p *payload) *http.Request {
	out := &http.Request{
		Method: r.Method,
		Host:   call.Host(),
		URL:    &url.URL{RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Header: make(http.Header, len(r.Header)+maxAddedHeaders),
	}
	setPath(out.URL, strings.TrimPrefix(rawPath(r), "/relay"))
	copyHeader(out.Header, r.Header)
	delete(out.Header, "Authorization")
	if values := out.Header[headerCallerAuthorization]; len(values) > 0 {
		out.Header["Authorization"] = values
	}
	delete(out.Header, headerCallerAuthorization)
	delete(out.Header, form.HeaderCall)
	delete(out.Header, headerVersion)
	p.attachTo(out)
	return out
}

// runHere runs a call at the target beside this daemon as runOnce does, if a rollout
// allows it there. The request is meant for a version, empty if its sender knows of no
// order.
func (f *Front) runHere(ctx context.Context, call model.Call, out *http.Request, meant string) (*http.Response, int, error) {
	pass, err := f.enterGate(meant, call.TimeLeft())
	if err != nil {
		return nil, call.Budget(), err
	}
	resp, unspent, err := f.runOnce(ctx, call, out)
	if err != nil {
		pass.fail(err)
		return nil, unspent, err
	}
	resp.Body = &gatedBody{ReadCloser: resp.Body, pass: pass}
	return resp, unspent, nil
}

// execution is the execution of a request at the target beside this daemon, from
// its admission to the end of its response.
type execution struct {
	front   *Front
	ticket  uint64
	token   string
	outcome admit.Outcome
	took    time.Duration // until the target's response began
}

// end reports the outcome to the admission, which frees the slot, and returns the
// unspent retries.
func (e *execution) end() int {
	e.front.crashWatch.finish(e.ticket)
	e.front.admission.finish(e.ticket, e.outcome)
	return e.front.running.end(e.token)
}

// run admits a call and sends its request to the target. It also returns the
// unspent retries.
func (f *Front) run(ctx context.Context, call model.Call, out *http.Request) (*http.Response, int, error) {
	if err := f.checkTarget(); err != nil {
		return nil, call.Budget(), err
	}
	began := time.Now()
	ticket, err := f.admission.admit(ctx, call, f.kindOf(call, out))
	if err != nil {
		return nil, call.Budget(), err
	}
	f.traceStep(call, trace.NewAdmitted(time.Since(began)))
	if err := f.recheck(call); err != nil {
		f.admission.finish(ticket, admit.Abandoned{})
		return nil, call.Budget(), err
	}
	if err := f.crashWatch.start(ticket, call.Fingerprint()); err != nil {
		f.admission.finish(ticket, admit.Abandoned{})
		return nil, call.Budget(), err
	}
	call = call.WithTimeLeft(call.TimeLeft() - time.Since(began))
	e := &execution{front: f, ticket: ticket, token: f.running.begin(call), outcome: admit.Failed{}}
	resp, err := f.sendToTarget(ctx, call, out, e)
	if err != nil {
		return nil, e.end(), err
	}
	resp.Header.Set(headerLevel, f.levelHeader(e.token))
	f.markStarved(resp, e.token)
	f.markForRollout(resp, e)
	f.crashWatch.noteServed(call.Fingerprint())
	resp.Body = &closeNotifier{ReadCloser: resp.Body, onClose: func() { e.end() }}
	return resp, f.running.takeUnspent(e.token), nil
}

// kindOf returns the kind of a request to the target: its route, by which requests of one
// service differ most in the time that they take.
func (f *Front) kindOf(call model.Call, out *http.Request) load.Kind {
	cfg := f.loop.View().Config()
	if call.Host() != "" {
		r, _ := cfg.MatchHost(call.Host(), out.URL.EscapedPath())
		return load.Kind(r.Prefix())
	}
	s, _ := cfg.Service(f.prefs.Service())
	r, _ := s.Match(out.Method, out.URL.EscapedPath())
	return load.Kind(r.Method() + " " + r.Prefix())
}

// sendToTarget sends a request to the target and records what the result tells
// about the target: drained or not, reachable, another target at its address,
// crashed. It sets the outcome of the execution.
func (f *Front) sendToTarget(ctx context.Context, call model.Call, out *http.Request, e *execution) (*http.Response, error) {
	f.addressToTarget(out, call, e.token)
	start, sentAt := time.Now(), f.clock.Now()
	resp, conn, err := roundTrip(withRequestID(ctx, call.ID()), f.targetTransportFor(out.Method), out, nil)
	if err != nil {
		e.outcome = failureOutcome(ctx, err)
		f.target.noteFailure(ctx, err)
		f.crashWatch.noteFailure(e.ticket, err)
		return nil, err
	}
	info := f.form.ReadResponse(call, resp)
	if !answers(info, resp.StatusCode, conn) || (info.Declined() && !conn.noteRefusal(call.ID())) {
		conn.discard()
		_ = resp.Body.Close()
		f.target.noteResponse(form.ResponseInfo{})
		return nil, model.Fail(model.Broken{})
	}
	f.targetDrain.note(info.Draining(), sentAt)
	f.target.noteResponse(info)
	f.admission.observe(info)
	if info.Declined() {
		e.outcome = admit.Rejected{}
		if !isRepeatable(out.Method) || conn.refusals() >= maxRefusals {
			// On this connection, a second refusal of the request would be doubtful.
			conn.retire(out)
		}
		_ = resp.Body.Close()
		return nil, model.Refuse(model.Declined{}, 0)
	}
	if info.Unnamed() {
		resp.Body = &closeNotifier{ReadCloser: resp.Body, onClose: conn.discard}
	}
	dropDaemonHeaders(resp)
	e.took = time.Since(start)
	e.outcome = responseOutcome(resp, e.took, f.running.sawRefusal(e.token))
	return resp, nil
}

// answers reports whether a response is taken for the answer to the request that was sent
// on a connection. It must bear the request's id, where targets repeat it: a faulty target
// may write more bytes after a whole response, which arrive where the next one is
// expected. Without an id, only an early error passes that the target's server answers by
// itself, as the first response on its connection. The request may have run otherwise.
func answers(info form.ResponseInfo, status int, conn *countingConn) bool {
	first := !conn.used.Swap(true)
	if info.OtherRequest() {
		return false
	}
	return !info.Unnamed() || (first && !info.Declined() && isEarlyError(status))
}

// isEarlyError reports whether HTTP servers answer with a status before they hand the
// request to the program. 408 is none of them, since it tells callers that the request did
// not run.
func isEarlyError(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusLengthRequired, http.StatusRequestEntityTooLarge, http.StatusRequestURITooLong,
		http.StatusExpectationFailed, http.StatusRequestHeaderFieldsTooLarge, http.StatusNotImplemented,
		http.StatusHTTPVersionNotSupported:
		return true
	}
	return false
}

// responseOutcome returns what a response tells about the target's capacity. A
// server error (5xx) after a downstream call was refused or failed tells nothing
// about it.
func responseOutcome(resp *http.Response, took time.Duration, sawRefusal bool) admit.Outcome {
	if sawRefusal && resp.StatusCode >= http.StatusInternalServerError {
		return admit.Abandoned{}
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return admit.Rejected{}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return admit.NewServed(took).AsError()
	}
	return admit.NewServed(took)
}

// addressToTarget sets the address of a request to the target and the headers
// that carry its remaining time and the token for downstream calls.
func (f *Front) addressToTarget(out *http.Request, call model.Call, token string) {
	out.URL.Scheme, out.URL.Host = f.targetURL.Scheme, f.targetURL.Host
	out.Header.Del("Expect")
	f.form.AddTargetHeaders(out.Header, call, form.NewExecution(token, f.target.id()))
}

// targetTransportFor returns the transport for a method. Only repeatable requests
// may be sent on a connection that the target may have closed.
func (f *Front) targetTransportFor(method string) http.RoundTripper {
	if isRepeatable(method) {
		return f.targetTransport
	}
	return f.freshTargetTransport
}

// isRepeatable reports whether requests of a method may be sent twice.
func isRepeatable(method string) bool { return method == http.MethodGet || method == http.MethodHead }
