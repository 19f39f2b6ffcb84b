package front

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/route"
	"anvilstand/io/codec"
)

// attempt sends a request to one target's daemon. An error is a refusal.
func (f *Front) attempt(ctx context.Context, j job, p *parcel, tried map[model.Instance]bool) (*http.Response, error) {
	m, level, err := f.picker.pick(j, tried)
	if err != nil {
		f.running.note(j.parent, j.service, level)
		return nil, err
	}
	tried[m.Name()] = true
	if deadline, ok := ctx.Deadline(); ok {
		j.call = j.call.WithLeft(time.Until(deadline))
	}
	from, err := send(f.peers, f.peerRequest(ctx, j, p, m))
	if err == nil {
		if r, ok := takeReport(from.Header); ok {
			f.picker.learn(j, m.Name(), r)
			f.running.note(j.parent, j.service, r.Level())
		}
		if refusal, is := readRefusal(from); is {
			_ = from.Body.Close()
			err = refusal
		}
	}
	if err != nil {
		f.picker.finish(m.Name(), endOf(ctx, err))
		return nil, err
	}
	from.Body = &closing{ReadCloser: from.Body, done: func() { f.picker.finish(m.Name(), route.Answered{}) }}
	return from, nil
}

// closing calls done once when an answer's body is closed.
type closing struct {
	io.ReadCloser
	done func()
}

// Close closes the body.
func (c *closing) Close() error {
	c.done()
	return c.ReadCloser.Close()
}

func (f *Front) peerRequest(ctx context.Context, j job, p *parcel, m fleet.Member) *http.Request {
	r := p.request
	query := url.URL{RawQuery: r.URL.RawQuery}
	out := (&http.Request{
		Method: r.Method,
		URL:    &url.URL{Scheme: "http", Host: m.Address(), Path: "/relay", Opaque: "//" + m.Address() + "/relay" + j.path},
		Header: http.Header{},
	}).WithContext(ctx)
	copyHeader(out.Header, r.Header)
	stripKey(out.Header, &query, j.key)
	out.URL.RawQuery = query.RawQuery
	out.Header.Set(headerCall, codec.EncodeCall(j.call))
	out.Header.Set("Authorization", "Bearer "+f.prefs.Secret())
	p.fill(out)
	return out
}

// send makes one round trip. When it fails before there was a connection, the
// refusal says that the request did not run.
func send(t http.RoundTripper, r *http.Request) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	from, err := t.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	switch {
	case err == nil:
		return from, nil
	case !connected:
		return nil, model.Refuse(model.NoTarget{}, 0)
	case r.Context().Err() != nil:
		return nil, model.Fail(model.Late{})
	}
	return nil, model.Fail(model.Broken{})
}
