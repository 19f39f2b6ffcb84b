//go:build !linux

package wire

import "syscall"

// boundSilence does nothing where there is no TCP_USER_TIMEOUT.
func boundSilence(_, _ string, _ syscall.RawConn) error { return nil }
