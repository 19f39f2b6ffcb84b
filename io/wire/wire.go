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

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

// TCP is the network of the operating system.
type TCP struct{}

// Listen listens at an address.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext connects to an address.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	return d.DialContext(ctx, network, address)
}
