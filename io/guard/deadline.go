package guard

import (
	"time"

	"github.com/go-faster/errors"
)

// setOwnDeadline limits reads to a time from now, zero for no limit besides the server's.
func (c *Conn) setOwnDeadline(d time.Duration) {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.deadlines.own = time.Time{}
	if d > 0 {
		c.deadlines.own = time.Now().Add(d)
	}
	_ = c.Conn.SetReadDeadline(c.effectiveDeadline())
}

// isOwnDeadlineOver reports whether the connection's own limit has ended a read, not the
// server's.
func (c *Conn) isOwnDeadlineOver() bool {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	own := c.deadlines.own
	return !own.IsZero() && c.effectiveDeadline().Equal(own) && !time.Now().Before(own)
}

func (c *Conn) effectiveDeadline() time.Time {
	server, own := c.deadlines.server, c.deadlines.own
	if server.IsZero() || !own.IsZero() && own.Before(server) {
		return own
	}
	return server
}

// SetReadDeadline implements net.Conn. The connection's own limits hold as well.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.deadlines.server = t
	return c.Conn.SetReadDeadline(c.effectiveDeadline())
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}
