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

// onceBytes is the length of what identifies a request and its key.
const onceBytes = 16

// markOnce gives a call the identity of its idempotency key, on a route that is
// not idempotent. The same key names another request on another path.
func (j *job) markOnce(r *http.Request) {
	key := j.ask.Once()
	if key == "" || j.route.Idempotent() {
		return
	}
	h := sha256.New()
	for _, part := range []string{string(j.call.Org()), string(j.service), r.Method, j.path, key} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	j.call = j.call.WithOnce(hex.EncodeToString(h.Sum(nil)[:onceBytes]))
}

// book lets traffic goroutines share a once.Book.
type book struct {
	mu   sync.Mutex
	core *once.Book
	self once.Process
}

// Observe takes the members of a new view. The control loop calls it.
func (f *Front) Observe(v *ctrl.View) {
	f.beside.observe(v)
	now := f.clock.Now()
	f.book.mu.Lock()
	defer f.book.mu.Unlock()
	f.book.core.Observe(now, v.Serving(f.prefs.Service()))
}

// perform runs a call, one with an idempotency key only if it has not run
// before.
func (f *Front) perform(ctx context.Context, call model.Call, out *http.Request) (*http.Response, int, error) {
	if call.Once() == "" {
		return f.run(ctx, call, out)
	}
	first, err := f.claim(ctx, call)
	if err != nil {
		return nil, call.Budget(), err
	}
	if first != nil {
		f.note(call, trace.Replayed{})
		return replayed(first), call.Budget(), nil
	}
	from, unspent, err := f.run(ctx, call, out)
	if err != nil {
		f.settleOnce(call, refusalOf(err).Run())
		return nil, unspent, err
	}
	from.Body = f.record(call, from)
	return from, unspent, nil
}

func (f *Front) settleOnce(call model.Call, run model.Run) {
	f.book.mu.Lock()
	defer f.book.mu.Unlock()
	switch run.(type) {
	case model.NotRun:
		f.book.core.Drop(once.Key(call.Once()))
	case model.MayHaveRun:
		f.book.core.Finish(once.Key(call.Once()), nil)
	}
}

// claim makes sure that a call's idempotency key has not run. It returns the
// first answer when that is held.
func (f *Front) claim(ctx context.Context, call model.Call) (*once.Answer, error) {
	out, err := f.beginOnce(call)
	if err != nil {
		return nil, err
	}
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case once.Replay:
			return a.Answer(), nil
		case once.Confirm:
			return nil, f.confirm(ctx, call, a.Peer().Address())
		case once.Start, once.Noted:
		}
	}
	return nil, nil
}

func (f *Front) beginOnce(call model.Call) (*once.Outbox, error) {
	now := f.clock.Now()
	f.book.mu.Lock()
	defer f.book.mu.Unlock()
	out := &once.Outbox{}
	return out, f.book.core.Begin(now, once.Key(call.Once()), call.Left(), out)
}

// confirm asks the other daemon of the key's pair to note it.
func (f *Front) confirm(ctx context.Context, call model.Call, address string) error {
	vouched, err := f.ask(ctx, call, address)
	now := f.clock.Now()
	f.book.mu.Lock()
	defer f.book.mu.Unlock()
	if err != nil {
		f.book.core.Drop(once.Key(call.Once()))
		return err
	}
	return f.book.core.Confirmed(now, once.Key(call.Once()), vouched)
}

// Bounds of a claim.
const (
	claimTimeout = time.Second
	maxClaim     = 1 << 10 // bytes
)

func (f *Front) ask(ctx context.Context, call model.Call, address string) (bool, error) {
	data, err := codec.EncodeClaim(once.Key(call.Once()), call.Left(), f.book.self)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r := (&http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: "/claim"},
		Header:        http.Header{"Authorization": {f.secret}},
		Body:          &body{from: bytes.NewReader(data)},
		ContentLength: int64(len(data)),
	}).WithContext(ctx)
	from, err := f.freshPeers.RoundTrip(r)
	if err != nil {
		return false, model.Refuse(model.NoTarget{}, 0)
	}
	defer from.Body.Close()
	if refusal, is := readRefusal(from); is {
		return false, refusal
	}
	text, err := io.ReadAll(io.LimitReader(from.Body, maxClaim))
	if err != nil {
		return false, model.Refuse(model.NoTarget{}, 0)
	}
	vouched, err := codec.DecodeNoted(text)
	if err != nil {
		return false, model.Refuse(model.NoTarget{}, 0)
	}
	return vouched, nil
}

// Claims serves the other daemons' claims of idempotency keys.
func (f *Front) Claims() http.Handler { return http.HandlerFunc(f.serveClaim) }

func (f *Front) serveClaim(w http.ResponseWriter, r *http.Request) {
	if !f.isPeer(r) {
		form.WriteRefusal(w, model.Refuse(model.BadKey{}, 0), nil)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxClaim))
	if err == nil {
		data, err = f.takeClaim(data)
	}
	if err != nil {
		form.WriteRefusal(w, refusalOf(err), nil)
		return
	}
	_, _ = w.Write(data)
}

func (f *Front) takeClaim(data []byte) ([]byte, error) {
	k, left, by, err := codec.DecodeClaim(data)
	if err != nil {
		return nil, model.Refuse(model.BadRequest{}, 0)
	}
	now := f.clock.Now()
	f.book.mu.Lock()
	defer f.book.mu.Unlock()
	var out once.Outbox
	if err := f.book.core.Claim(now, k, left, by, &out); err != nil {
		return nil, err
	}
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case once.Noted:
			return codec.EncodeNoted(a.Vouched())
		case once.Replay, once.Confirm, once.Start:
		}
	}
	return nil, model.Refuse(model.BadRequest{}, 0)
}

// replayed returns a first answer as the answer of a round trip.
func replayed(a *once.Answer) *http.Response {
	h := http.Header{}
	copyHeader(h, a.Header())
	return &http.Response{
		StatusCode:    a.Status(),
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(a.Body())),
		ContentLength: int64(len(a.Body())),
	}
}

// recorder keeps what passes of an answer's body, up to once.MaxAnswer, and
// tells the end of it.
type recorder struct {
	io.ReadCloser
	held  []byte
	whole bool
	ended func(body []byte, whole bool)
}

func (f *Front) record(call model.Call, from *http.Response) io.ReadCloser {
	status, header := from.StatusCode, from.Header.Clone()
	header.Del(headerLevel)
	return &recorder{ReadCloser: from.Body, ended: func(body []byte, whole bool) {
		var a *once.Answer
		if whole && len(from.Trailer) == 0 {
			a = once.NewAnswer(status, header, body)
		}
		f.book.mu.Lock()
		defer f.book.mu.Unlock()
		f.book.core.Finish(once.Key(call.Once()), a)
	}}
}

// Read reads the answer.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if len(r.held) <= once.MaxAnswer {
		r.held = append(r.held, p[:n]...)
	}
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close ends the answer.
func (r *recorder) Close() error {
	if r.ended != nil {
		r.ended(r.held, r.whole)
		r.ended = nil
	}
	return r.ReadCloser.Close()
}
