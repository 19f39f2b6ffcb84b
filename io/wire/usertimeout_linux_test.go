package wire_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"anvilstand/io/wire"
)

// TestUserTimeout checks the TCP options of dialed and accepted connections, which
// close a connection whose other end does not answer within 3 s.
func TestUserTimeout(t *testing.T) {
	ln, err := wire.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var g errgroup.Group
	var accepted net.Conn
	g.Go(func() error {
		var err error
		accepted, err = ln.Accept()
		return err
	})
	dialed, err := wire.TCP{}.DialContext(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		got := map[string]int{
			"idle": sockOption(t, conn, unix.TCP_KEEPIDLE), "interval": sockOption(t, conn, unix.TCP_KEEPINTVL),
			"count": sockOption(t, conn, unix.TCP_KEEPCNT), "user": sockOption(t, conn, unix.TCP_USER_TIMEOUT),
		}
		want := map[string]int{"idle": 1, "interval": 1, "count": 2, "user": 2500}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(name, diff)
		}
	}
}

func sockOption(t *testing.T, conn net.Conn, name int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var n int
	if err := raw.Control(func(fd uintptr) { n, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil {
		t.Fatal(err)
	}
	return n
}
