package wire

import "net"

// Drainer is a listener that can turn new connections away and still serve
// those whose opening has begun, so that none is reset when it closes.
type Drainer interface {
	// Drain turns new connections away. Accept goes on.
	Drain() error
}

// Drain drains a listener that can be drained, and does nothing otherwise.
func Drain(ln net.Listener) error {
	if d, ok := ln.(Drainer); ok {
		return d.Drain()
	}
	return nil
}

// tlsListener is a TLS listener over one that may be drained.
type tlsListener struct {
	net.Listener
	inner net.Listener
}

// Drain drains the listener under the TLS.
func (s tlsListener) Drain() error { return Drain(s.inner) }
