package guard

import (
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"

	"anvilstand/io/wire"
)

// readBuffers holds buffers for reads of heads while the server asks for a byte only.
var readBuffers = sync.Pool{New: func() any { return new([1 << 10]byte) }}

// readHead reads once from the connection, unless a whole head has been read already. If
// the head is whole, it can be read from c.out.
func (c *Conn) readHead(p []byte) error {
	state := c.scan.scan(c.limits)
	if _, more := state.(partial); more {
		if len(p) < 1<<10 {
			buffer := readBuffers.Get().(*[1 << 10]byte)
			defer readBuffers.Put(buffer)
			p = buffer[:]
		}
		n, err := c.Conn.Read(p)
		if n == 0 {
			return c.readFailure(err)
		}
		if len(c.scan.head) == 0 {
			c.beginHead()
		}
		state = c.scan.add(p[:n], c.limits)
	}
	switch s := state.(type) {
	case partial:
		return c.charge()
	case complete:
		return c.deliverHead()
	case excessive:
		c.refuse(s.reason)
	}
	return nil
}

// beginHead sets the limits of a head at its first byte.
func (c *Conn) beginHead() {
	c.limits = c.listener.limits()
	c.listener.guard.noteHeadBegun(c)
	if !c.serving {
		c.setOwnDeadline(c.limits.headTimeout)
	}
}

// deliverHead hands the head to the server.
func (c *Conn) deliverHead() error {
	if err := c.charge(); err != nil {
		return err
	}
	c.listener.guard.noteWholeHead(c)
	c.pending++
	// The caller has read the answer before, so that a dead one is found soon again.
	if c.stalls.Swap(false) {
		wire.ResetUserTimeout(c.Conn)
	}
	c.serving = true
	c.setOwnDeadline(0)
	head, f := c.scan.take()
	c.out = head
	switch {
	case f.unframed:
		c.out, c.scan.head = append(c.out, c.scan.head...), nil
		c.mode = unframedBody{}
	case f.chunked:
		rest := c.scan.head
		c.scan.head = nil
		n := c.consumeChunks(&chunkScanner{}, rest)
		c.out = append(c.out[:len(c.out):len(c.out)], rest[:n]...)
	case f.length > 0:
		n := min(f.length, int64(len(c.scan.head)))
		c.out = append(c.out[:len(c.out):len(c.out)], c.scan.head[:n]...)
		c.scan.head = c.scan.head[n:]
		c.consumeBody(f.length - n)
	}
	return nil
}

// refusedRequest takes the place of a refused head, so that the server answers it in the
// form of the listener's handler. refusedHost tells it from the requests before it.
const (
	refusedHost    = "refused.invalid"
	refusedRequest = "GET / HTTP/1.1\r\nHost: " + refusedHost + "\r\nConnection: close\r\n\r\n"
)

func (c *Conn) refuse(r Reason) {
	c.listener.note(r)
	c.refusal.Store(&r)
	c.listener.guard.refund(c)
	c.scan = scanner{}
	c.out = []byte(refusedRequest)
	c.mode = unframedBody{}
	c.pending++
	c.serving = true
	c.setOwnDeadline(0)
}

// errEvicted is the error of reading a connection that was closed for want of memory. The
// server gives no answer to an operation error.
var errEvicted = &net.OpError{Op: "read", Err: errors.New("no memory for the head")}

// charge accounts for the memory of the head if it is larger than usual.
func (c *Conn) charge() error {
	if cost := c.scan.cost(); cost > freeCost && !c.listener.guard.charge(c, cost) {
		return errEvicted
	}
	return nil
}

// readFailure counts the end of the time for a head, and returns err. It returns nil if the
// connection may be idle for longer.
func (c *Conn) readFailure(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.extendIdle() {
		return nil
	}
	if len(c.scan.head) > 0 && c.isOwnDeadlineOver() {
		c.listener.note(SlowHead{})
	}
	return err
}
