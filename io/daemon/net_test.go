package daemon_test

import (
	"bytes"
	"context"
	"net"
	"sync"

	"anvilstand/io/wire"
)

// faulty is TCP whose connections can be cut, or silenced: a silent connection
// stays open and loses what is sent either way, while new ones work.
type faulty struct {
	wire.TCP
	mu    sync.Mutex
	conns []*faultyConn
	want  []byte
	seen  chan struct{}
	found bool
}

// newNet returns a network without faults. It notes when a connection receives
// the text want.
func newNet(want ...string) *faulty {
	n := &faulty{seen: make(chan struct{})}
	for _, text := range want {
		n.want = []byte(text)
	}
	return n
}

type faultyConn struct {
	net.Conn
	net    *faulty
	mu     sync.Mutex
	silent bool
	closed chan struct{}
	once   sync.Once
}

// DialContext connects to an address.
func (n *faulty) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.TCP.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: conn, net: n, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// cut closes all connections opened so far.
func (n *faulty) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Conn.Close()
	}
}

// silence has all connections opened so far lose what is sent on them.
func (n *faulty) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (n *faulty) received(p []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.want != nil && !n.found && bytes.Contains(p, n.want) {
		n.found = true
		close(n.seen)
	}
}

func (c *faultyConn) lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.lost() {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.net.received(p[:n])
	return n, err
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.lost() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
