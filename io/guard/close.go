package guard

import (
	"crypto/tls"
	"io"
	"net"
	"time"
)

// Close implements net.Conn. After a refusal it waits for the caller to read the answer.
func (c *Conn) Close() error {
	if c.closing.Swap(true) {
		return net.ErrClosed
	}
	if c.refusal.Load() != nil && !c.listener.isClosed() {
		c.linger()
	}
	c.listener.guard.remove(c)
	return c.Conn.Close()
}

// linger ends the answer and reads what the caller still sends, within bounds. A
// connection that is closed with unread bytes is reset, and the answer may be lost.
func (c *Conn) linger() {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); !ok || w.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// evict closes the connection at once, unless that was done before.
func (c *Conn) evict(r Reason) {
	if !c.listener.guard.remove(c) {
		return
	}
	c.listener.note(r)
	// Closing a TLS connection writes to it, which may block.
	if t, ok := c.Conn.(*tls.Conn); ok {
		_ = t.NetConn().Close()
		return
	}
	_ = c.Conn.Close()
}
