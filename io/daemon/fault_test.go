package daemon_test

import (
	"bytes"
	"context"
	"net"
	"sync"

	"anvilstand/io/wire"
)

// faultNetwork is TCP with fault injection for the connections that it dialed: they
// can be closed, or made silent. A silent connection stays open and loses what is
// sent in either direction. Connections dialed later work.
type faultNetwork struct {
	wire.TCP
	mu      sync.Mutex
	conns   []*faultConn
	pattern []byte
	matched chan struct{}
	done    bool
}

// newFaultNetwork returns a network without faults. With a pattern, it closes the
// channel matched once a connection receives that text within one read.
func newFaultNetwork(pattern ...string) *faultNetwork {
	n := &faultNetwork{matched: make(chan struct{})}
	for _, text := range pattern {
		n.pattern = []byte(text)
	}
	return n
}

type faultConn struct {
	net.Conn
	net    *faultNetwork
	mu     sync.Mutex
	silent bool
	closed chan struct{}
	once   sync.Once
}

// DialContext connects to an address and keeps the connection for later faults.
func (n *faultNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.TCP.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: conn, net: n, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// cut closes all connections dialed so far.
func (n *faultNetwork) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Conn.Close()
	}
}

// silence makes all connections dialed so far silent.
func (n *faultNetwork) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (n *faultNetwork) checkPattern(p []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pattern != nil && !n.done && bytes.Contains(p, n.pattern) {
		n.done = true
		close(n.matched)
	}
}

func (c *faultConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.net.checkPattern(p[:n])
	return n, err
}

func (c *faultConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
