package wire

import (
	"net"

	"github.com/go-faster/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// drainListener is a TCP listener that can be drainListener.
type drainListener struct{ *net.TCPListener }

func drainable(ln net.Listener) net.Listener {
	if tcp, ok := ln.(*net.TCPListener); ok {
		return drainListener{TCPListener: tcp}
	}
	return ln
}

// Place of the flags in a TCP header, and the flag that opens a connection.
const (
	tcpFlagsOffset = 13
	tcpSYN   = 0x02
	keepAll    = 1 << 16
)

// Drain has the operating system drop the segments that open a connection. The
// caller sends them again a second later, and then finds the listener closed.
// Connections that are half open or wait to be accepted are not touched.
func (d drainListener) Drain() error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: tcpSYN, SkipTrue: 1},
		bpf.RetConstant{Val: keepAll},
		bpf.RetConstant{Val: 0},
	})
	if err != nil {
		return errors.Wrap(err, "drain: assemble filter")
	}
	filter := make([]unix.SockFilter, 0, len(program))
	for _, i := range program {
		filter = append(filter, unix.SockFilter{Code: i.Op, Jt: i.Jt, Jf: i.Jf, K: i.K})
	}
	raw, err := d.SyscallConn()
	if err != nil {
		return errors.Wrapf(err, "drain %s", d.Addr())
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	if err = errors.Join(err, setErr); err != nil {
		return errors.Wrapf(err, "drain %s", d.Addr())
	}
	return nil
}
