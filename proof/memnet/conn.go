package memnet

import (
	"io"
	"net"
	"os"
	"time"
)

// sendWindow is how many bytes may be queued, unread, before a write blocks.
const sendWindow = 256 << 10

// Conn is one end of a connection. Its fields are guarded by the network's
// lock.
type Conn struct {
	net               *Network
	host              *Host
	peer              *Conn
	local             address
	remote            address
	inbound, outbound direction
	dialer            bool
	changed           chan struct{}
	chunks            []chunk
	queued            int // bytes in chunks
	lastArrival       time.Time
	reordered         []byte // a write that Reorder keeps until the next one
	writes            int    // number of writes so far
	isLink            bool
	eof               bool // the other end was closed
	closed            bool
	blackholed        bool
	err               error
	readDeadline      time.Time
	writeDeadline     time.Time
}

// chunk is the bytes of one write, and when they arrive.
type chunk struct {
	data    []byte
	arrival time.Time
}

// connects reports whether the connection is between two hosts.
func (c *Conn) connects(a, b string) bool {
	return (c.outbound == direction{a, b}) || (c.outbound == direction{b, a})
}

func (c *Conn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// fail ends both ends with an error. The network's lock is held.
func (c *Conn) fail(err error) {
	c.failEnd(err)
	c.peer.failEnd(err)
}

// failEnd ends this end only with an error.
func (c *Conn) failEnd(err error) {
	if c.err == nil && !c.closed {
		c.err = err
	}
	delete(c.net.conns, c)
	c.wake()
}

// Read reads what has arrived from the other end, and waits while there is
// nothing.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, until, changed, err := c.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		await(changed, until)
	}
}

// await waits for a change, or until a time unless that is zero.
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

// tryRead reads what has arrived. When there is nothing to return it gives the
// time until which to wait, zero for none, and a channel that is closed on a
// change.
func (c *Conn) tryRead(b []byte) (int, time.Time, chan struct{}, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	now := time.Now()
	switch {
	case c.closed:
		return 0, now, nil, net.ErrClosed
	case c.err != nil:
		return 0, now, nil, &net.OpError{Op: "read", Net: "tcp", Err: c.err}
	case !c.readDeadline.IsZero() && !now.Before(c.readDeadline):
		return 0, now, nil, os.ErrDeadlineExceeded
	case c.net.isCut(c.inbound):
		return 0, c.readDeadline, c.changed, nil
	case len(c.chunks) == 0 && c.eof:
		return 0, now, nil, io.EOF
	case len(c.chunks) == 0 || len(b) == 0:
		return 0, c.readDeadline, c.changed, nil
	case now.Before(c.chunks[0].arrival):
		return 0, earliest(c.readDeadline, c.chunks[0].arrival), c.changed, nil
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

// earliest returns the earlier of two times, of which a may be zero for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Write sends to the other end. It waits while sendWindow is exceeded.
func (c *Conn) Write(b []byte) (int, error) {
	action := c.tapWrite(b)
	for {
		until, changed, err := c.tryWrite(b, action)
		if err != nil {
			return 0, err
		}
		if changed == nil {
			return len(b), nil
		}
		await(changed, until)
	}
}

// tryWrite carries out the action for a write. When the other end has too much
// queued, it gives the time until which to wait and a channel that is closed on
// a change.
func (c *Conn) tryWrite(b []byte, action Action) (time.Time, chan struct{}, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	switch {
	case c.closed:
		return time.Time{}, nil, net.ErrClosed
	case c.err != nil:
		return time.Time{}, nil, &net.OpError{Op: "write", Net: "tcp", Err: c.err}
	case !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline):
		return time.Time{}, nil, os.ErrDeadlineExceeded
	case c.blackholed:
		return time.Time{}, nil, nil
	case c.peer.queued > sendWindow:
		return c.writeDeadline, c.changed, nil
	}
	c.apply(b, action)
	if c.err != nil {
		return time.Time{}, nil, &net.OpError{Op: "write", Net: "tcp", Err: c.err}
	}
	return time.Time{}, nil, nil
}

// deliver queues bytes at the other end, to arrive after the link's delay and
// an extra one. Bytes stay in order.
func (c *Conn) deliver(b []byte, extra time.Duration) {
	if c.peer.err != nil || c.peer.closed || len(b) == 0 {
		return
	}
	arrival := time.Now().Add(c.net.latency(c.outbound) + extra)
	if arrival.Before(c.peer.lastArrival) {
		arrival = c.peer.lastArrival
	}
	c.peer.lastArrival = arrival
	c.peer.chunks = append(c.peer.chunks, chunk{data: append([]byte(nil), b...), arrival: arrival})
	c.peer.queued += len(b)
	c.peer.wake()
}

// Close closes this end. The other end reads what was sent, then io.EOF.
func (c *Conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	delete(c.net.conns, c)
	if !c.blackholed {
		c.peer.eof = true
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

// SetReadDeadline sets when reads fail. The zero time means never.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.readDeadline = t
	c.wake()
	return nil
}

// SetWriteDeadline sets when writes fail. The zero time means never.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.writeDeadline = t
	c.wake()
	return nil
}
