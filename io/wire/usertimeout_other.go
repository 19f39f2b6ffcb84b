//go:build !linux

package wire

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing: TCP_USER_TIMEOUT exists only on Linux.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

func setUserTimeoutTo(syscall.RawConn, time.Duration) error { return nil }
