//go:build !linux

package wire

import "syscall"

// isOpenForWriting does not know the state of a connection: TCP_INFO exists only on Linux.
func isOpenForWriting(syscall.RawConn) (open, known bool) { return false, false }
