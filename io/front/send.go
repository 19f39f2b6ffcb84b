package front

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"anvilstand/io/wire"
)

// counted is a connection that counts the bytes written to it, so that a
// request of which none was written is known not to have run.
type counted struct {
	net.Conn
	sent atomic.Int64
}

// Write writes to the connection.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// dialTimeout bounds the opening of a connection within the fleet, where round
// trips take a few milliseconds. A request that finds none goes elsewhere.
const dialTimeout = 300 * time.Millisecond

// drop closes the connection, whatever is still to come on it.
func (c *counted) drop() { _ = c.Close() }

func dialCounted(n wire.Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := n.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &counted{Conn: conn}, nil
	}
}

// send makes one round trip. When it fails before a byte of the request was
// written, the refusal says that the request did not run. beat is called at
// each interim response.
func send(t http.RoundTripper, r *http.Request, beat func()) (*http.Response, *counted, error) {
	var conn *counted
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*counted)
		before = conn.sent.Load()
	}}
	if beat != nil {
		trace.Got1xxResponse = func(int, textproto.MIMEHeader) error {
			beat()
			return nil
		}
	}
	from, err := t.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, conn, failure(r.Context(), conn != nil && conn.sent.Load() != before)
	}
	if from.StatusCode == http.StatusSwitchingProtocols {
		_ = from.Body.Close()
		return nil, conn, failure(r.Context(), true)
	}
	return from, conn, nil
}
