package wire

import (
	"net"

	"github.com/go-faster/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// drainListener is a TCP listener that implements SYNDropper.
type drainListener struct{ *net.TCPListener }

func withDrain(ln net.Listener) net.Listener {
	if tcp, ok := ln.(*net.TCPListener); ok {
		return drainListener{TCPListener: tcp}
	}
	return ln
}

// Values of the socket filter.
const (
	tcpFlagsOffset = 13      // bytes from the start of the TCP header
	tcpSYN         = 0x02    // flag of a segment that opens a connection
	keepAll        = 1 << 16 // bytes of a segment to keep, more than any has
)

// DropSYNs attaches a socket filter that drops SYN segments. The caller's operating
// system sends a dropped SYN again after one second and then finds the listener
// closed. Connections that are half open or wait to be accepted are not affected.
func (l drainListener) DropSYNs() error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: tcpSYN, SkipTrue: 1},
		bpf.RetConstant{Val: keepAll},
		bpf.RetConstant{Val: 0},
	})
	if err != nil {
		return errors.Wrap(err, "drain: assemble SYN filter")
	}
	filter := make([]unix.SockFilter, 0, len(program))
	for _, i := range program {
		filter = append(filter, unix.SockFilter{Code: i.Op, Jt: i.Jt, Jf: i.Jf, K: i.K})
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrapf(err, "drain %s", l.Addr())
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	if err = errors.Join(err, setErr); err != nil {
		return errors.Wrapf(err, "drain %s", l.Addr())
	}
	return nil
}
