// Package wire opens the connections of a daemon, so that tests can put
// another network in place of TCP.
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
	// DialContext connects to an address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Bounds of the connections.
const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// keepAliveIdle is how long a connection is quiet before it is probed, and
	// probeEvery the time between two probes.
	keepAliveIdle  = time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is how many probes may go unanswered.
	keepAliveCount = 2
	// userTimeout is how long what was sent may stay unacknowledged.
	userTimeout = 2500 * time.Millisecond
)

// keepAlive has the operating system find a connection whose other end is gone. A
// slow peer answers them, so that it is not taken for a silent one.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// TCP is the network of the operating system.
type TCP struct{}

// Listen listens at an address.
func (TCP) Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: boundSilence}
	ln, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return drainable(ln), nil
}

// DialContext connects to an address.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: boundSilence}
	return d.DialContext(ctx, network, address)
}
