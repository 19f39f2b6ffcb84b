package front

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"anvilstand/core/model"
	"anvilstand/core/once"
	"anvilstand/core/trace"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
)

// idempotencyIDBytes is the length of the digest of a request and its
// idempotency key, before hex encoding.
const idempotencyIDBytes = 16

// setIdempotencyID gives a call the digest of its idempotency key, unless its
// route is idempotent anyway. The same key on another path or method, or of
// another organisation, is another request.
func (j *job) setIdempotencyID(r *http.Request) {
	key := j.info.IdempotencyKey()
	if key == "" || j.route.Idempotent() {
		return
	}
	h := sha256.New()
	for _, part := range []string{string(j.call.Org()), string(j.service), r.Method, j.path, key} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	j.call = j.call.WithIdempotencyID(hex.EncodeToString(h.Sum(nil)[:idempotencyIDBytes]))
}

// idempotencyRegistry lets concurrent requests share a once.Registry.
type idempotencyRegistry struct {
	mu   sync.Mutex
	core *once.Registry
	self once.Process
}

// Observe updates the service's members from a new view. The control loop calls
// it.
func (f *Front) Observe(v *ctrl.View) {
	f.target.observe(v)
	now := f.clock.Now()
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	f.idempotency.core.Observe(now, v.Serving(f.prefs.Service()))
}

// runOnce runs a call. A call with an idempotency key that has run before gets
// the recorded response, or a refusal if there is none.
func (f *Front) runOnce(ctx context.Context, call model.Call, out *http.Request) (*http.Response, int, error) {
	if call.IdempotencyID() == "" {
		return f.run(ctx, call, out)
	}
	recorded, err := f.claimKey(ctx, call)
	if err != nil {
		return nil, call.Budget(), err
	}
	if recorded != nil {
		f.traceStep(call, trace.Replayed{})
		return replayResponse(recorded), call.Budget(), nil
	}
	resp, unspent, err := f.run(ctx, call, out)
	if err != nil {
		f.settleKey(call, refusalOf(err).Run())
		return nil, unspent, err
	}
	resp.Body = f.recordResponse(call, resp)
	return resp, unspent, nil
}

// settleKey ends the key of a call that failed: the key may be used again if
// the call did not run, and not if it may have run.
func (f *Front) settleKey(call model.Call, run model.Run) {
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	switch run.(type) {
	case model.NotRun:
		f.idempotency.core.Abort(once.Key(call.IdempotencyID()))
	case model.MayHaveRun:
		f.idempotency.core.Finish(once.Key(call.IdempotencyID()), nil)
	}
}

// claimKey makes sure that a call's idempotency key has not been used. It
// returns the response of the first request if that is recorded.
func (f *Front) claimKey(ctx context.Context, call model.Call) (*once.Answer, error) {
	out, err := f.beginKey(call)
	if err != nil {
		return nil, err
	}
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case once.Replay:
			return a.Answer(), nil
		case once.SendClaim:
			return nil, f.confirmKey(ctx, call, a.Peer().Address())
		case once.Start, once.ClaimReply:
		}
	}
	return nil, nil
}

// beginKey registers the call's key at this daemon. The outbox says what is to
// be done before the call may run.
func (f *Front) beginKey(call model.Call) (*once.Outbox, error) {
	now := f.clock.Now()
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	out := &once.Outbox{}
	return out, f.idempotency.core.Begin(now, once.Key(call.IdempotencyID()), call.TimeLeft(), out)
}

// confirmKey claims the key at the other daemon that is responsible for it.
func (f *Front) confirmKey(ctx context.Context, call model.Call, address string) error {
	keyIsNew, err := f.requestClaim(ctx, call, address)
	now := f.clock.Now()
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	if err != nil {
		f.idempotency.core.Abort(once.Key(call.IdempotencyID()))
		return err
	}
	return f.idempotency.core.ClaimAnswered(now, once.Key(call.IdempotencyID()), keyIsNew)
}

// Bounds of a claim.
const (
	claimTimeout  = time.Second
	maxClaimBytes = 1 << 10 // bytes
)

// requestClaim asks the daemon at the address to record the key. It reports
// whether that daemon knows for certain that the key has not been used.
func (f *Front) requestClaim(ctx context.Context, call model.Call, address string) (bool, error) {
	data, err := codec.EncodeClaim(once.Key(call.IdempotencyID()), call.TimeLeft(), f.idempotency.self)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r := (&http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: "/claim"},
		Header:        http.Header{"Authorization": {f.peerAuthorization}},
		Body:          &requestBody{src: bytes.NewReader(data)},
		ContentLength: int64(len(data)),
	}).WithContext(ctx)
	resp, err := f.freshPeerTransport.RoundTrip(r)
	if err != nil {
		return false, model.Refuse(model.NoTarget{}, 0)
	}
	defer resp.Body.Close()
	if refusal, ok := readRefusal(resp); ok {
		return false, refusal
	}
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxClaimBytes))
	if err != nil {
		return false, model.Refuse(model.NoTarget{}, 0)
	}
	keyIsNew, err := codec.DecodeClaimReply(reply)
	if err != nil {
		return false, model.Refuse(model.NoTarget{}, 0)
	}
	return keyIsNew, nil
}

// ClaimHandler returns the handler for the other daemons' claims of idempotency keys.
func (f *Front) ClaimHandler() http.Handler { return http.HandlerFunc(f.serveClaim) }

func (f *Front) serveClaim(w http.ResponseWriter, r *http.Request) {
	if !f.isPeer(r) {
		form.WriteRefusal(w, model.Refuse(model.BadKey{}, 0), nil)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxClaimBytes))
	if err == nil {
		data, err = f.handleClaim(data)
	}
	if err != nil {
		form.WriteRefusal(w, refusalOf(err), nil)
		return
	}
	_, _ = w.Write(data)
}

// handleClaim records a key for another daemon and returns the encoded reply.
func (f *Front) handleClaim(data []byte) ([]byte, error) {
	k, left, claimant, err := codec.DecodeClaim(data)
	if err != nil {
		return nil, model.Refuse(model.BadRequest{}, 0)
	}
	now := f.clock.Now()
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	var out once.Outbox
	if err := f.idempotency.core.Claim(now, k, left, claimant, &out); err != nil {
		return nil, err
	}
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case once.ClaimReply:
			return codec.EncodeClaimReply(a.KeyIsNew())
		case once.Replay, once.SendClaim, once.Start:
		}
	}
	return nil, model.Refuse(model.BadRequest{}, 0)
}

// replayResponse returns a recorded response as an *http.Response.
func replayResponse(a *once.Answer) *http.Response {
	h := http.Header{}
	copyHeader(h, a.Header())
	return &http.Response{
		StatusCode:    a.Status(),
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(a.Body())),
		ContentLength: int64(len(a.Body())),
	}
}

// bodyRecorder records a response body up to a little more than
// once.MaxAnswerBytes while it is read, and passes it to onClose.
type bodyRecorder struct {
	io.ReadCloser
	recorded []byte
	complete bool
	onClose  func(body []byte, complete bool)
}

// recordResponse returns the body of a response, which on closing ends the
// call's key with the response, or without one if it was incomplete.
func (f *Front) recordResponse(call model.Call, resp *http.Response) io.ReadCloser {
	status, header := resp.StatusCode, resp.Header.Clone()
	header.Del(headerLevel)
	return &bodyRecorder{ReadCloser: resp.Body, onClose: func(body []byte, complete bool) {
		var a *once.Answer
		if complete && len(resp.Trailer) == 0 {
			a = once.NewAnswer(status, header, body)
		}
		f.idempotency.mu.Lock()
		defer f.idempotency.mu.Unlock()
		f.idempotency.core.Finish(once.Key(call.IdempotencyID()), a)
	}}
}

// Read implements io.Reader.
func (r *bodyRecorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if len(r.recorded) <= once.MaxAnswerBytes {
		r.recorded = append(r.recorded, p[:n]...)
	}
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close calls onClose with the recorded body, and whether it is complete, and
// closes the body.
func (r *bodyRecorder) Close() error {
	if r.onClose != nil {
		r.onClose(r.recorded, r.complete)
		r.onClose = nil
	}
	return r.ReadCloser.Close()
}
