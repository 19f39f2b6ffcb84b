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

// countingConn counts the bytes written to a connection: a request of which no
// byte was written is known not to have run.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// dialTimeout bounds the opening of a connection. Round trips between daemons
// take a few milliseconds; when the timeout expires the request is sent
// elsewhere.
const dialTimeout = 300 * time.Millisecond

// discard closes the connection without reading what may still arrive on it.
func (c *countingConn) discard() { _ = c.Close() }

func countingDialer(n wire.Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := n.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// roundTrip sends one request and waits for the response header. If it fails
// before a byte of the request was written, the refusal says that the request
// did not run. onInterim, if not nil, is called on each interim (1xx) response.
func roundTrip(t http.RoundTripper, r *http.Request, onInterim func()) (*http.Response, *countingConn, error) {
	var conn *countingConn
	var writtenBefore int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*countingConn)
		writtenBefore = conn.written.Load()
	}}
	if onInterim != nil {
		trace.Got1xxResponse = func(int, textproto.MIMEHeader) error {
			onInterim()
			return nil
		}
	}
	resp, err := t.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, conn, failure(r.Context(), conn != nil && conn.written.Load() != writtenBefore)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, conn, failure(r.Context(), true)
	}
	return resp, conn, nil
}
