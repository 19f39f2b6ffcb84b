package cable

import (
	"bytes"
	"time"
)

// Tap sees a write before it is sent and says what becomes of it. It may
// change the network; the write's own connection included.
type Tap func(w Write) Act

// Write is one write on a connection.
type Write struct {
	from, to string
	data     []byte
	first    bool
	link     bool
}

// From returns the IP number of the sender.
func (w Write) From() string { return w.from }

// To returns the IP number of the receiver.
func (w Write) To() string { return w.to }

// Data returns the bytes. They must not be changed or kept.
func (w Write) Data() []byte { return w.data }

// First reports whether it is the first write of this end.
func (w Write) First() bool { return w.first }

// Frame returns the payload of a write that is one WebSocket frame of a link.
func (w Write) Frame() ([]byte, bool) {
	if !w.link || w.first {
		return nil, false
	}
	return payload(w.data)
}

// Act is what becomes of a write.
//
//sumtype:decl
type Act interface{ isAct() }

// Members of Act. A nil Act means that the write passes.
type (
	// Swallow loses the write and makes the connection silent.
	Swallow struct{}
	// Twice delivers the write two times, when it is a whole frame of a link.
	Twice struct{}
	// Swap delivers the write after the next one, when it is a whole frame of
	// a link.
	Swap struct{}
	// Late delivers the write, and what follows it, a delay later.
	Late struct{ delay time.Duration }
	// Break resets the connection in place of the write.
	Break struct{}
	// Forge delivers other bytes in place of the write.
	Forge struct{ data []byte }
)

func (Swallow) isAct() {}
func (Twice) isAct()   {}
func (Swap) isAct()    {}
func (Late) isAct()    {}
func (Break) isAct()   {}
func (Forge) isAct()   {}

// NewLate returns the act of delivering late.
func NewLate(d time.Duration) Late { return Late{delay: d} }

// NewForge returns the act of delivering other bytes.
func NewForge(data []byte) Forge { return Forge{data: data} }

var linkStart = []byte("GET /link ")

func (c *Conn) see(b []byte) Act {
	c.cable.mu.Lock()
	first := c.writes == 0
	c.writes++
	if first {
		c.link = c.dialer && bytes.HasPrefix(b, linkStart)
	}
	w := Write{from: c.out.from, to: c.out.to, data: b, first: first, link: c.link}
	tap := c.cable.tap
	c.cable.mu.Unlock()
	if tap == nil {
		return nil
	}
	return tap(w)
}

func (c *Conn) act(b []byte, act Act) {
	held := c.held
	c.held = nil
	defer func() { c.deliver(held, 0) }()
	_, whole := payload(b)
	whole = whole && c.link && c.writes > 1
	switch act := act.(type) {
	case Swallow:
		c.silent = true
		conn := c
		time.AfterFunc(GiveUp, func() { c.cable.giveUp(conn) })
		return
	case Break:
		c.fail(errReset)
		return
	case Late:
		c.deliver(b, act.delay)
		return
	case Twice:
		if whole {
			c.deliver(b, 0)
		}
	case Swap:
		if whole {
			c.held = append([]byte(nil), b...)
			return
		}
	case Forge:
		b = act.data
	}
	c.deliver(b, 0)
}

// payload returns the payload of bytes that are exactly one masked WebSocket
// frame of data.
func payload(b []byte) ([]byte, bool) {
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
