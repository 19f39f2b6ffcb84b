//go:build !linux

package wire

import "net"

// drainable returns the listener as it is where it cannot be drained.
func drainable(ln net.Listener) net.Listener { return ln }
