package memnet

import (
	"bytes"
	"time"
)

// Tap inspects a write before it is sent and decides what is done with it. It
// may change the network, the write's own connection included.
type Tap func(w Write) Action

// Write is one write on a connection.
type Write struct {
	from, to string
	data     []byte
	first    bool
	link     bool
}

// From returns the IP address of the sender.
func (w Write) From() string { return w.from }

// To returns the IP address of the receiver.
func (w Write) To() string { return w.to }

// Data returns the bytes, which must not be changed or retained.
func (w Write) Data() []byte { return w.data }

// First reports whether it is the first write of its end of the connection.
func (w Write) First() bool { return w.first }

// Frame returns the payload of a write that is exactly one WebSocket frame of a
// link between daemons.
func (w Write) Frame() ([]byte, bool) {
	if !w.link || w.first {
		return nil, false
	}
	return framePayload(w.data)
}

// Action is what is done with a write.
//
//sumtype:decl
type Action interface{ isAction() }

// Members of Action. A nil Action delivers the write.
type (
	// Blackhole drops the write and all that this end sends after it.
	Blackhole struct{}
	// Duplicate delivers the write twice if it is a whole frame of a link, else
	// once.
	Duplicate struct{}
	// Reorder delivers the write after the next one if it is a whole frame of a
	// link, else at once.
	Reorder struct{}
	// Delay delivers the write, and what follows it, with an extra delay.
	Delay struct{ delay time.Duration }
	// Reset drops the write and resets the connection.
	Reset struct{}
	// Replace delivers other bytes instead.
	Replace struct{ data []byte }
)

func (Blackhole) isAction() {}
func (Duplicate) isAction() {}
func (Reorder) isAction()   {}
func (Delay) isAction()     {}
func (Reset) isAction()     {}
func (Replace) isAction()   {}

// NewDelay returns an action that delays a write by d.
func NewDelay(d time.Duration) Delay { return Delay{delay: d} }

// NewReplace returns an action that delivers data in place of a write.
func NewReplace(data []byte) Replace { return Replace{data: data} }

// linkRequest is how the first write of a link between daemons begins.
var linkRequest = []byte("GET /link ")

// tapWrite asks the tap what to do with a write.
func (c *Conn) tapWrite(b []byte) Action {
	c.net.mu.Lock()
	first := c.writes == 0
	c.writes++
	if first {
		c.isLink = c.dialer && bytes.HasPrefix(b, linkRequest)
	}
	w := Write{from: c.outbound.from, to: c.outbound.to, data: b, first: first, link: c.isLink}
	tap := c.net.tap
	c.net.mu.Unlock()
	if tap == nil {
		return nil
	}
	return tap(w)
}

// apply carries out an action on a write, and then delivers an earlier write
// that Reorder kept. The network's lock is held.
func (c *Conn) apply(b []byte, action Action) {
	reordered := c.reordered
	c.reordered = nil
	defer func() { c.deliver(reordered, 0) }()
	_, isFrame := framePayload(b)
	isFrame = isFrame && c.isLink && c.writes > 1
	switch action := action.(type) {
	case Blackhole:
		c.blackholed = true
		conn := c
		time.AfterFunc(KeepAliveTimeout, func() { c.net.timeOut(conn) })
		return
	case Reset:
		c.fail(errReset)
		return
	case Delay:
		c.deliver(b, action.delay)
		return
	case Duplicate:
		if isFrame {
			c.deliver(b, 0)
		}
	case Reorder:
		if isFrame {
			c.reordered = append([]byte(nil), b...)
			return
		}
	case Replace:
		b = action.data
	}
	c.deliver(b, 0)
}

// framePayload returns the payload of bytes that are exactly one masked
// WebSocket data frame.
func framePayload(b []byte) ([]byte, bool) {
	const final, data, masked = 0x80, 0x03, 0x80
	if len(b) < 6 || b[0]&final == 0 || b[0]&0x0f == 0 || b[0]&0x0f >= data || b[1]&masked == 0 {
		return nil, false
	}
	n, at := int(b[1]&0x7f), 2
	if n == 126 && len(b) > 8 {
		n, at = int(b[2])<<8|int(b[3]), 4
	}
	if len(b) != at+4+n {
		return nil, false
	}
	mask, body := b[at:at+4], make([]byte, n)
	for i := range body {
		body[i] = b[at+4+i] ^ mask[i%4]
	}
	return body, true
}
