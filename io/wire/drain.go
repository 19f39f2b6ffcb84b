package wire

import "net"

// SYNDropper is a listener that can ignore new connections and still accept those
// whose handshake has begun, so that closing it afterwards resets none. It does
// not touch accepted connections and their requests.
type SYNDropper interface {
	// DropSYNs ignores new connections from now on. Accept still returns those
	// whose handshake had begun.
	DropSYNs() error
}

// IgnoreNewConnections makes a listener ignore new connections if it is a
// SYNDropper, and does nothing otherwise.
func IgnoreNewConnections(ln net.Listener) error {
	if d, ok := ln.(SYNDropper); ok {
		return d.DropSYNs()
	}
	return nil
}

// tlsListener is a TLS listener that passes DropSYNs to the listener below it.
type tlsListener struct {
	net.Listener
	inner net.Listener
}

// DropSYNs makes the listener below TLS ignore new connections.
func (l tlsListener) DropSYNs() error { return IgnoreNewConnections(l.inner) }
