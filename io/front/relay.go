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
	"anvilstand/io/codec"
)

// Peers serves the other daemons' requests for the target beside this one.
func (f *Front) Peers() http.Handler { return http.HandlerFunc(f.servePeer) }

func (f *Front) servePeer(w http.ResponseWriter, r *http.Request) {
	call, err := f.acceptPeer(r)
	if err == nil {
		err = f.relay(w, r, call)
	}
	if err != nil {
		w.Header().Set(headerLevel, f.report(""))
		writeRefusal(w, refusalOf(err))
	}
}

func (f *Front) acceptPeer(r *http.Request) (model.Call, error) {
	shown := []byte(r.Header.Get("Authorization"))
	if subtle.ConstantTimeCompare(shown, []byte("Bearer "+f.prefs.Secret())) != 1 {
		return model.Call{}, model.Refuse(model.BadKey{}, 0)
	}
	call, err := codec.DecodeCall(r.Header.Get(headerCall))
	if err != nil {
		return call, model.Refuse(model.BadRequest{}, 0)
	}
	return call, nil
}

// relay admits a call, runs it at the target and passes the answer back.
func (f *Front) relay(w http.ResponseWriter, r *http.Request, call model.Call) error {
	ctx, cancel := context.WithTimeout(r.Context(), call.Left())
	defer cancel()
	id, err := f.gate.enter(ctx, call)
	if err != nil {
		return err
	}
	outcome := admit.Outcome(admit.Failed{})
	defer func() { f.gate.finish(id, outcome) }()
	if err := f.ward.enter(id, call.Mark()); err != nil {
		outcome = admit.Abandoned{}
		return err
	}
	defer f.ward.leave(id)
	began := time.Now()
	token := f.running.begin(call)
	defer f.running.end(token)
	from, err := send(f.target, f.targetRequest(ctx, r, token))
	if err != nil {
		outcome = failureOf(ctx)
		f.ward.failed(id, err)
		return err
	}
	defer from.Body.Close()
	from.Header.Del(headerRefusal)
	from.Header.Set(headerLevel, f.report(token))
	outcome = outcomeOf(from, time.Since(began), f.running.refused(token))
	f.ward.served(call.Mark())
	answer(w, from)
	return nil
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

func (f *Front) targetRequest(ctx context.Context, r *http.Request, token string) *http.Request {
	base, _ := url.Parse(f.prefs.Target())
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/relay")
	out := (&http.Request{
		Method: r.Method,
		URL:    &url.URL{Scheme: base.Scheme, Host: base.Host, Opaque: "//" + base.Host + path, RawQuery: r.URL.RawQuery},
		Header: http.Header{},
	}).WithContext(ctx)
	copyHeader(out.Header, r.Header)
	out.Header.Del("Authorization")
	out.Header.Set(headerCall, token)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(headerDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	out.Body, out.ContentLength = &body{from: r.Body}, r.ContentLength
	return out
}
