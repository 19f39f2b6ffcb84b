package wire

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// isOpenForWriting reports whether a TCP connection whose other end sends no more is still
// open in the other direction. It is not after a reset or a timeout. Known is false if the
// operating system does not tell the state.
func isOpenForWriting(c syscall.RawConn) (open, known bool) {
	var info *unix.TCPInfo
	var err error
	if cerr := c.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); cerr != nil || err != nil {
		return false, false
	}
	switch info.State {
	case unix.BPF_TCP_CLOSE_WAIT:
		return true, true
	case unix.BPF_TCP_CLOSE:
		return false, true
	}
	return false, false
}
