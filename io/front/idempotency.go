package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/once"
	"anvilstand/core/trace"
	"anvilstand/io/ctrl"
)

// idempotencyIDBytes is the length of the digest of a request and its
// idempotency key, in bytes before hex encoding.
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
	f.target.observeDomain(v)
	now := f.clock.Now()
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	f.idempotency.core.Observe(now, usualMembers(v, f.prefs.Service()))
}

// runOnce runs a call at the target beside this daemon. A call with an idempotency
// key that has run before gets the stored response, or a refusal if there is none.
// It also returns the unspent retries.
func (f *Front) runOnce(ctx context.Context, call model.Call, out *http.Request) (*http.Response, int, error) {
	if call.IdempotencyID() == "" {
		return f.run(ctx, call, out)
	}
	stored, number, err := f.claimKey(ctx, call)
	if err != nil {
		return nil, call.Budget(), err
	}
	if stored != nil {
		f.traceStep(call, trace.Replayed{})
		return replayResponse(stored), call.Budget(), nil
	}
	resp, unspent, err := f.run(ctx, call, out)
	if err != nil {
		f.endKey(ctx, call, number, refusalOf(err).Run())
		return nil, unspent, err
	}
	resp.Body = f.recordResponse(call, number, resp)
	return resp, unspent, nil
}

// endKey ends the key of a call that failed: the key may be used again if
// the call did not run, and not if it may have run.
func (f *Front) endKey(ctx context.Context, call model.Call, number uint64, run model.Run) {
	switch run.(type) {
	case model.NotRun:
		f.abortKey(ctx, call, number)
	case model.MayHaveRun:
		f.idempotency.mu.Lock()
		defer f.idempotency.mu.Unlock()
		f.idempotency.core.Finish(once.Key(call.IdempotencyID()), number, nil)
	}
}

// abortKey makes the key of a call that did not run free again, here and at the other
// daemon of the key's pair. It waits at most releaseTimeout for that one.
func (f *Front) abortKey(ctx context.Context, call model.Call, number uint64) {
	for _, a := range f.abortHere(call, number).Actions() {
		switch a := a.(type) {
		case once.SendRelease:
			f.sendRelease(ctx, f.claimOf(call, a.Number()), a.Other().Address())
		case once.Replay, once.SendClaim, once.RunUnclaimed, once.ClaimReply:
		}
	}
}

// abortHere makes the key of a call that did not run free at this daemon.
func (f *Front) abortHere(call model.Call, number uint64) *once.Outbox {
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	out := &once.Outbox{}
	f.idempotency.core.Abort(once.Key(call.IdempotencyID()), number, out)
	return out
}

// claimOf returns this daemon's claim of a call's key.
func (f *Front) claimOf(call model.Call, number uint64) once.Claim {
	return once.NewClaim(once.Key(call.IdempotencyID()), f.idempotency.self, number)
}

// claimKey makes sure that a call's idempotency key has not been used, at this
// daemon and at the other one of the key's pair. It returns the response to the
// first request if that is stored here, and otherwise the number of the execution.
func (f *Front) claimKey(ctx context.Context, call model.Call) (*once.Response, uint64, error) {
	out, err := f.beginKey(call)
	if err != nil {
		return nil, 0, err
	}
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case once.Replay:
			return a.Response(), 0, nil
		case once.SendClaim:
			return nil, a.Number(), f.claimAtOther(ctx, call, a)
		case once.RunUnclaimed:
			return nil, a.Number(), nil
		case once.ClaimReply, once.SendRelease:
		}
	}
	return nil, 0, model.Refuse(model.BadRequest{}, 0)
}

// beginKey records the call's key at this daemon. The outbox says what is to be
// done before the call may run.
func (f *Front) beginKey(call model.Call) (*once.Outbox, error) {
	now := f.clock.Now()
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	out := &once.Outbox{}
	return out, f.idempotency.core.Begin(now, once.Key(call.IdempotencyID()), call.TimeLeft(), out)
}

// claimAtOther claims the key at the other daemon of its pair. After an error the
// call must not run.
func (f *Front) claimAtOther(ctx context.Context, call model.Call, a once.SendClaim) error {
	keyIsNew, err := f.sendClaim(ctx, call, a)
	if err != nil {
		// A claim without a readable reply may have been recorded.
		f.abortKey(ctx, call, a.Number())
		return err
	}
	now := f.clock.Now()
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	return f.idempotency.core.ClaimAnswered(now, once.Key(call.IdempotencyID()), a.Number(), keyIsNew)
}
