// Package wire opens the listeners and connections of a daemon, over TCP or TLS.
// The Network interface lets tests replace TCP by a simulated network.
package wire

import (
	"context"
	"net"
	"time"
)

// Network opens listeners and connections.
type Network interface {
	// Listen listens at an address, as host:port.
	Listen(address string) (net.Listener, error)
	// DialContext connects to an address, as host:port, within the limits of ctx.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Time limits of the connections. A connection whose other end does not answer is
// closed within 3 s.
const (
	// dialTimeout limits the opening of a TCP connection, and the TLS handshake
	// on its own.
	dialTimeout = time.Second
	// keepAliveIdle is how long a connection is idle before the first probe, and
	// keepAliveInterval the time between two probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which the connection
	// is closed.
	keepAliveCount = 2
	// userTimeout is how long sent data may stay unacknowledged, or unsent because the
	// other end reads nothing (see SetUserTimeout).
	userTimeout = 2500 * time.Millisecond
)

// keepAlive has the operating system probe idle connections and close those whose
// other end is gone. A peer that is merely slow still answers the probes, which
// a timeout on its responses could not tell apart.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// TCP is the network of the operating system. The zero value is ready to use.
type TCP struct{}

// Listen listens at an address, as host:port. On Linux the listener implements
// SYNDropper.
func (TCP) Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	ln, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return withDrain(ln), nil
}

// DialContext connects to an address within dialTimeout. A reset of the connection is
// reported to its reader, whoever the operating system reports it to.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &dialedConn{Conn: conn}, nil
}
