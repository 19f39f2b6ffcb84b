//go:build !linux

package wire

import "syscall"

// setUserTimeout does nothing: TCP_USER_TIMEOUT exists only on Linux.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
