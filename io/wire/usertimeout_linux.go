package wire

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. Accepted connections inherit
// it from their listener.
func setUserTimeout(_, _ string, c syscall.RawConn) error { return setUserTimeoutTo(c, userTimeout) }

func setUserTimeoutTo(c syscall.RawConn, d time.Duration) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
