package cable

import (
	"io"
	"net"
	"os"
	"time"
)

// window is how many bytes wait in a connection before its writer waits.
const window = 256 << 10

// Conn is one end of a connection. Its fields are guarded by the cable's lock.
type Conn struct {
	cable    *Cable
	host     *Host
	peer     *Conn
	local    address
	remote   address
	in, out  pair
	dialer   bool
	changed  chan struct{}
	chunks   []chunk
	queued   int
	last     time.Time
	held     []byte
	writes   int
	link     bool
	finished bool // the other end closed
	closed   bool
	silent   bool
	broken   error
	readBy   time.Time
	writeBy  time.Time
}

// chunk is what one write brings, and when it arrives.
type chunk struct {
	data []byte
	at   time.Time
}

func (c *Conn) joins(a, b string) bool {
	return (c.out == pair{a, b}) || (c.out == pair{b, a})
}

func (c *Conn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// fail breaks both ends. The cable's lock is held.
func (c *Conn) fail(err error) {
	c.failOne(err)
	c.peer.failOne(err)
}

// failOne breaks this end only.
func (c *Conn) failOne(err error) {
	if c.broken == nil && !c.closed {
		c.broken = err
	}
	delete(c.cable.conns, c)
	c.wake()
}

// Read reads what the other end sent.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, until, changed, err := c.readNow(b)
		if n > 0 || err != nil {
			return n, err
		}
		await(changed, until)
	}
}

// await waits for a change, or a time that is not zero.
func await(changed chan struct{}, until time.Time) {
	if until.IsZero() {
		<-changed
		return
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

func (c *Conn) readNow(b []byte) (int, time.Time, chan struct{}, error) {
	c.cable.mu.Lock()
	defer c.cable.mu.Unlock()
	now := time.Now()
	switch {
	case c.closed:
		return 0, now, nil, net.ErrClosed
	case c.broken != nil:
		return 0, now, nil, &net.OpError{Op: "read", Net: "tcp", Err: c.broken}
	case !c.readBy.IsZero() && !now.Before(c.readBy):
		return 0, now, nil, os.ErrDeadlineExceeded
	case c.cable.isCut(c.in):
		return 0, c.readBy, c.changed, nil
	case len(c.chunks) == 0 && c.finished:
		return 0, now, nil, io.EOF
	case len(c.chunks) == 0 || len(b) == 0:
		return 0, c.readBy, c.changed, nil
	case now.Before(c.chunks[0].at):
		return 0, earlier(c.readBy, c.chunks[0].at), c.changed, nil
	}
	n := copy(b, c.chunks[0].data)
	c.chunks[0].data = c.chunks[0].data[n:]
	if len(c.chunks[0].data) == 0 {
		c.chunks = c.chunks[1:]
	}
	c.queued -= n
	c.peer.wake()
	return n, now, nil, nil
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Write sends to the other end. It waits while too much is under way.
func (c *Conn) Write(b []byte) (int, error) {
	act := c.see(b)
	for {
		until, changed, err := c.writeNow(b, act)
		if err != nil {
			return 0, err
		}
		if changed == nil {
			return len(b), nil
		}
		await(changed, until)
	}
}

func (c *Conn) writeNow(b []byte, act Act) (time.Time, chan struct{}, error) {
	c.cable.mu.Lock()
	defer c.cable.mu.Unlock()
	switch {
	case c.closed:
		return time.Time{}, nil, net.ErrClosed
	case c.broken != nil:
		return time.Time{}, nil, &net.OpError{Op: "write", Net: "tcp", Err: c.broken}
	case !c.writeBy.IsZero() && !time.Now().Before(c.writeBy):
		return time.Time{}, nil, os.ErrDeadlineExceeded
	case c.silent:
		return time.Time{}, nil, nil
	case c.peer.queued > window:
		return c.writeBy, c.changed, nil
	}
	c.act(b, act)
	if c.broken != nil {
		return time.Time{}, nil, &net.OpError{Op: "write", Net: "tcp", Err: c.broken}
	}
	return time.Time{}, nil, nil
}

// deliver hands bytes to the other end, a delay later.
func (c *Conn) deliver(b []byte, more time.Duration) {
	if c.peer.broken != nil || c.peer.closed || len(b) == 0 {
		return
	}
	at := time.Now().Add(c.cable.lag(c.out) + more)
	if at.Before(c.peer.last) {
		at = c.peer.last
	}
	c.peer.last = at
	c.peer.chunks = append(c.peer.chunks, chunk{data: append([]byte(nil), b...), at: at})
	c.peer.queued += len(b)
	c.peer.wake()
}

// Close closes this end. The other end reads what was sent, then the end.
func (c *Conn) Close() error {
	c.cable.mu.Lock()
	defer c.cable.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	delete(c.cable.conns, c)
	if !c.silent {
		c.peer.finished = true
	}
	c.wake()
	c.peer.wake()
	return nil
}

// LocalAddr returns the address of this end.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets when reads fail.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.cable.mu.Lock()
	defer c.cable.mu.Unlock()
	c.readBy = t
	c.wake()
	return nil
}

// SetWriteDeadline sets when writes fail.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.cable.mu.Lock()
	defer c.cable.mu.Unlock()
	c.writeBy = t
	c.wake()
	return nil
}
