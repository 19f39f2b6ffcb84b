package wire

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
)

// errReset is the error of a read at the end of a connection that did not end in order.
var errReset = errors.New("connection reset")

// dialedConn is a dialed TCP connection whose reader is told when the connection was reset.
// The operating system reports a reset once: to a writer, if there is one, and a read after
// it returns io.EOF. For an HTTP response without a length that would mean that it is whole.
type dialedConn struct {
	net.Conn
	writing     atomic.Int32 // calls of Write in progress
	writeFailed atomic.Bool
}

// Read implements net.Conn. It returns io.EOF only if the other end has closed the
// connection in order.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.isReset() {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errReset}
	}
	return n, err
}

// Write implements net.Conn.
func (c *dialedConn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// isReset reports whether a connection whose end was read is no longer open for writing.
// Where the operating system can't tell, a write that failed, or one that waits and may
// have been given the error, counts as a reset.
func (c *dialedConn) isReset() bool {
	raw, err := c.SyscallConn()
	if err == nil {
		if open, known := isOpenForWriting(raw); known {
			return !open
		}
	}
	return c.writing.Load() > 0 || c.writeFailed.Load()
}

// SyscallConn implements syscall.Conn.
func (c *dialedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T is no connection of the operating system", c.Conn)
	}
	return s.SyscallConn()
}
