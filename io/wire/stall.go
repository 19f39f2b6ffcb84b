package wire

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"
)

// SetUserTimeout sets how long data sent on a TCP connection may stay unacknowledged, or
// unsent because the other end reads nothing: the operating system does not tell the two
// apart, so the usual timeout also ends connections of readers that pause.
func SetUserTimeout(conn net.Conn, d time.Duration) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	if s, ok := conn.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			_ = setUserTimeoutTo(raw, d)
		}
	}
}

// ResetUserTimeout undoes SetUserTimeout.
func ResetUserTimeout(conn net.Conn) { SetUserTimeout(conn, userTimeout) }
