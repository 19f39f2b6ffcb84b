package guard

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection of a caller. It hands a head to the server when it is whole, and
// keeps its deadline; bodies and hijacked connections pass through.
type Conn struct {
	net.Conn
	listener *Listener
	host     string // of the caller
	openedAt time.Time

	// The fields below are used by one reader at a time: net/http joins its background
	// reader before it reads on, or calls ConnState.
	limits  Limits    // in force when the head began or the wait for one
	idleAt  time.Time // when that wait began
	scan    scanner
	out     []byte // checked bytes that the server has yet to read
	mode    mode
	serving bool // from the end of a head until its request has ended
	// pending counts the heads handed to the server whose requests have not ended. The
	// server looks for the next request while one runs, so there may be two.
	pending int

	// Under the guard's lock.
	hasSentHead bool      // a whole one
	inRequest   bool      // the head is whole, its request has not ended
	idleSince   time.Time // the end of the last request; zero before, and from the next head on
	cost        int

	deadlines struct {
		sync.Mutex
		server, own time.Time
	}
	refusal atomic.Pointer[Reason]
	closing atomic.Bool
	stalls  atomic.Bool // may accept no data for longer than usual
}

func (l *Listener) newConn(conn net.Conn) *Conn {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		host = conn.RemoteAddr().String()
	}
	return &Conn{Conn: conn, listener: l, host: host, openedAt: time.Now(), mode: readingHead{}}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if len(c.out) > 0 {
			n := copy(p, c.out)
			if c.out = c.out[n:]; len(c.out) == 0 {
				c.out = nil
			}
			return n, nil
		}
		switch m := c.mode.(type) {
		case readingHead:
			if err := c.readHead(p); err != nil {
				return 0, err
			}
		case fixedLengthBody:
			c.setOwnDeadline(c.limits.bodyTimeout)
			n, err := c.Conn.Read(p[:min(int64(len(p)), m.left)])
			c.consumeBody(m.left - int64(n))
			return n, err
		case chunkedBody:
			n, err := c.readUnframed(p)
			return c.consumeChunks(m.body, p[:n]), err
		case unframedBody:
			return c.readUnframed(p)
		case hijacked:
			return c.Conn.Read(p)
		case endOfInput:
			return 0, io.EOF
		}
	}
}

// endRequest notes that a request has ended.
func (c *Conn) endRequest() {
	if c.pending--; c.pending == 0 {
		c.idle()
	}
}

// idle begins the wait for the next request. A head that has begun already must be whole
// within its time from now.
func (c *Conn) idle() {
	c.serving = false
	if _, last := c.mode.(unframedBody); last {
		c.mode = endOfInput{}
	}
	c.listener.guard.refund(c)
	_ = c.charge() // for the part of the next head that is here already
	c.limits, c.idleAt = c.listener.limits(), time.Now()
	if len(c.scan.head) > 0 {
		c.setOwnDeadline(c.limits.headTimeout)
		return
	}
	c.listener.guard.noteIdle(c, c.idleAt)
	c.setOwnDeadline(c.limits.idleTimeout)
}

// extendIdle reports whether the wait for a request whose time has run out goes on, as the
// limits in force allow a longer one by now.
func (c *Conn) extendIdle() bool {
	if c.serving || len(c.scan.head) > 0 || !c.isOwnDeadlineOver() {
		return false
	}
	c.limits = c.listener.limits()
	rest := time.Until(c.idleAt.Add(c.limits.idleTimeout))
	if rest <= 0 {
		return false
	}
	c.setOwnDeadline(rest)
	return true
}

// release makes the connection pass all bytes through, for a handler that took it over.
func (c *Conn) release() {
	c.out, c.scan = append(c.out, c.scan.head...), scanner{}
	c.mode = hijacked{}
	c.listener.guard.refund(c)
	c.setOwnDeadline(0)
}
