package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"anvilstand/core/model"
	"anvilstand/core/once"
	"anvilstand/io/codec"
	"anvilstand/io/form"
)

// Bounds of a claim and of its release. maxClaimBytes is also that of the reply.
const (
	claimTimeout = time.Second
	// releaseTimeout is how long a refusal waits for the release of its claim. A round
	// trip between failure domains takes 1 to 2 ms.
	releaseTimeout = 10 * time.Millisecond
	maxClaimBytes  = 1 << 10
)

// headerClaim is the number of a claim.
const headerClaim = "Claim"

// sendClaim asks the daemon at the address to record the key. It reports whether
// that daemon is certain that no other process has run the key. A claim without
// a readable reply counts as NoTarget: the call has not run.
func (f *Front) sendClaim(ctx context.Context, call model.Call, a once.SendClaim) (bool, error) {
	data, number, err := codec.EncodeClaim(f.claimOf(call, a.Number()), call.TimeLeft())
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r := f.newKeyRequest(ctx, a.Other().Address(), "/claim", data)
	r.Header.Set(headerClaim, number)
	resp, err := f.freshPeerTransport.RoundTrip(r)
	if err != nil {
		return false, model.Refuse(model.NoTarget{}, 0)
	}
	defer resp.Body.Close()
	if refusal, ok := readRefusal(resp); ok {
		return false, claimRefusal(refusal)
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

// claimRefusal returns the refusal of a claim as it concerns the caller. A claim bears no key
// of the caller: an earlier build answers one with another secret as BadKey.
func claimRefusal(r *model.Refusal) *model.Refusal {
	if _, unknown := r.Reason().(model.BadKey); unknown {
		return unknownPeer()
	}
	return peerRefusal(r)
}

// sendRelease asks the daemon at the address to delete a claim. When the caller of the
// request has gone, the claim is released all the same. A release that fails leaves the
// claim to its expiry; a daemon of an earlier build knows none.
func (f *Front) sendRelease(ctx context.Context, c once.Claim, address string) {
	data, err := codec.EncodeRelease(c)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	resp, err := f.freshPeerTransport.RoundTrip(f.newKeyRequest(ctx, address, "/release", data))
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

// newKeyRequest returns a request about a key to another daemon.
func (f *Front) newKeyRequest(ctx context.Context, address, path string, data []byte) *http.Request {
	return (&http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: path},
		Header:        http.Header{"Authorization": {f.peerAuthorization}},
		Body:          &requestBody{src: bytes.NewReader(data)},
		ContentLength: int64(len(data)),
	}).WithContext(ctx)
}

// ReleaseHandler returns the handler for releases of claims by the other daemons of the
// service.
func (f *Front) ReleaseHandler() http.Handler { return http.HandlerFunc(f.serveRelease) }

func (f *Front) serveRelease(w http.ResponseWriter, r *http.Request) {
	if !f.isPeer(r) {
		form.WriteRefusal(w, unknownPeer(), nil)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxClaimBytes))
	if err != nil {
		form.WriteRefusal(w, model.Refuse(model.BadRequest{}, 0), nil)
		return
	}
	c, err := codec.DecodeRelease(data)
	if err != nil {
		form.WriteRefusal(w, model.Refuse(model.BadRequest{}, 0), nil)
		return
	}
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	f.idempotency.core.Release(c)
}

// ClaimHandler returns the handler for claims of idempotency keys by the other
// daemons of the service.
func (f *Front) ClaimHandler() http.Handler { return http.HandlerFunc(f.serveClaim) }

func (f *Front) serveClaim(w http.ResponseWriter, r *http.Request) {
	if !f.isPeer(r) {
		form.WriteRefusal(w, unknownPeer(), nil)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxClaimBytes))
	if err == nil {
		data, err = f.handleClaim(data, r.Header.Get(headerClaim))
	}
	if err != nil {
		form.WriteRefusal(w, refusalOf(err), nil)
		return
	}
	_, _ = w.Write(data)
}

// handleClaim records a key for another daemon and returns the encoded reply.
func (f *Front) handleClaim(data []byte, number string) ([]byte, error) {
	c, left, err := codec.DecodeClaim(data, number)
	if err != nil {
		return nil, model.Refuse(model.BadRequest{}, 0)
	}
	now := f.clock.Now()
	f.idempotency.mu.Lock()
	defer f.idempotency.mu.Unlock()
	var out once.Outbox
	if err := f.idempotency.core.Claim(now, c, left, &out); err != nil {
		return nil, err
	}
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case once.ClaimReply:
			return codec.EncodeClaimReply(a.KeyIsNew())
		case once.Replay, once.SendClaim, once.RunUnclaimed, once.SendRelease:
		}
	}
	return nil, model.Refuse(model.BadRequest{}, 0)
}
