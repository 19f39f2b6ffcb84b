package wire

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// boundSilence sets TCP_USER_TIMEOUT. Accepted connections take it over from
// their listener.
func boundSilence(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
