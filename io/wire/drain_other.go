//go:build !linux

package wire

import "net"

// withDrain returns the listener unchanged: draining is implemented for Linux only.
func withDrain(ln net.Listener) net.Listener { return ln }
