package front

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"anvilstand/core/model"
	"anvilstand/io/wire"
)

// connLimits are the limits of a connection that a daemon opens.
type connLimits struct {
	stall time.Duration // without progress of a long body
	lines int           // of the head of a response
}

// countingConn counts the bytes written to a connection: a request of which no byte was
// written is known not to have run. It also limits the header lines of responses.
type countingConn struct {
	net.Conn
	written atomic.Int64
	used    atomic.Bool // a response came on it
	limits  connLimits
	stalls  bool        // may accept no data for the stall time; of the request that has the connection
	newHead atomic.Bool // a request was given the connection since the last read
	head    headLines   // of the reader

	mu      sync.Mutex
	refused map[model.Request]bool // requests that the target refused on it
	request *http.Request          // that has the connection, or had it last
}

// maxRefusals is the number of refused requests after which a connection is closed, since it
// remembers them.
const maxRefusals = 64

// noteRefusal records that the target refused a request on this connection. It returns
// false if the response may be an earlier refusal that a faulty target has written once
// more. The
// next request may have the connection already: the transport takes it back before it
// returns a response without a body.
func (c *countingConn) noteRefusal(id model.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused[id] {
		return false
	}
	if c.refused == nil {
		c.refused = map[model.Request]bool{}
	}
	c.refused[id] = true
	return true
}

// requestIDKey is the key of the id of a request to the target, in its context.
type requestIDKey struct{}

// withRequestID returns a context in which a request to the target is given no connection
// on which the target has refused it: a second refusal there would be doubtful.
func withRequestID(ctx context.Context, id model.Request) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// hasRefused reports whether the target refused the request of ctx on this connection.
func (c *countingConn) hasRefused(ctx context.Context) bool {
	id, _ := ctx.Value(requestIDKey{}).(model.Request)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[id]
}

// retire closes the connection on which a request was refused, unless the next request has
// it already, which would be broken off.
func (c *countingConn) retire(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request == r {
		c.discard()
	}
}

// refusals returns the number of requests that were refused on the connection.
func (c *countingConn) refusals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.refused)
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// prepare begins a request on the connection. If a long body follows, the other end may
// accept no data for the stall time, since a server may begin to read it late; the usual
// limit is for machines that are gone. A short body fits into the buffers of the operating
// system, whether it is read or not. The limit stays until the next request, as data may
// wait in the buffers until then.
func (c *countingConn) prepare(r *http.Request) {
	long := r.ContentLength < 0 || r.ContentLength > chunkBytes
	switch {
	case long:
		wire.SetUserTimeout(c.Conn, c.limits.stall)
	case c.stalls:
		wire.ResetUserTimeout(c.Conn)
	}
	c.stalls = long
	c.newHead.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = r
}

// Read implements net.Conn. A response with too many header lines ends the connection.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.newHead.Load() && c.newHead.Swap(false) {
		c.head = headLines{}
	}
	if !c.head.add(p[:n], c.limits.lines) {
		c.discard() // net/http may ignore the error and read again, for an answer that is gone
		return 0, errTooManyLines
	}
	return n, err
}

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// dialTimeout limits the opening of a connection. Round trips between daemons
// take a few milliseconds. After the timeout the attempt fails as NoTarget, and
// the request may be sent elsewhere.
const dialTimeout = 300 * time.Millisecond

// discard closes the connection without reading what may still arrive on it.
func (c *countingConn) discard() { _ = c.Close() }

func countingDialer(n wire.Network, limits connLimits) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := n.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, limits: limits}, nil
	}
}

// roundTrip sends one request under ctx, in place of the request's own context, and
// waits for the response header. The error is a *model.Refusal: NotRun if no byte of the
// request was written, else MayHaveRun. If nothing could be written to a connection that
// was kept, the reason is Broken: that says nothing about whether a new one can be opened.
// onInterim, if not nil, is called on each interim (1xx) response. The caller is asked for a
// body that it holds back when the other end asks for it, or, where the request does not
// wait for that, once there is a connection. A switch of
// protocols is not supported, and a status outside of 200 to 599 means nothing: they
// count as a failure, and the connection is closed.
func roundTrip(ctx context.Context, t http.RoundTripper, r *http.Request, onInterim func()) (*http.Response, *countingConn, error) {
	var conn *countingConn
	var writtenBefore int64
	var reused bool
	ask := continueSenderOf(r)
	ask.begin()
	defer ask.end()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, reused = info.Conn.(*countingConn), info.Reused
		writtenBefore = conn.written.Load()
		conn.prepare(r)
		if conn.hasRefused(ctx) {
			conn.discard() // nothing is written, so that another one is taken
		}
		if r.Header.Get("Expect") == "" {
			ask.send()
		}
	}}
	trace.Got100Continue = ask.send
	if onInterim != nil {
		trace.Got1xxResponse = func(int, textproto.MIMEHeader) error {
			onInterim()
			return nil
		}
	}
	resp, err := t.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		sent := conn != nil && conn.written.Load() != writtenBefore
		if !sent && reused && ctx.Err() == nil {
			return nil, conn, model.Refuse(model.Broken{}, 0)
		}
		return nil, conn, failure(ctx, sent)
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		conn.discard()
		_ = resp.Body.Close()
		return nil, conn, failure(ctx, true)
	}
	return resp, conn, nil
}
