// Package loopback gives tests addresses that no other process uses. A test that closes a
// port and expects nobody to listen there, or starts a process on it later, fails when a
// test of another process gets the port meanwhile, and the requests of one test then reach
// the targets of the other.
package loopback

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
)

const (
	// claimPort is the port that a process listens on at the address that it claims.
	claimPort = 11999
	// maxClaims bounds the addresses that are tried.
	maxClaims = 1000
	// minPort and maxPort bound the ports of FreeAddress. They are below the range from
	// which the system takes ports, so that neither Listen nor a process that listens on
	// all addresses takes one of them.
	minPort = 12000
	maxPort = 32000
)

// claim is an address of 127.0.0.0/8 that this process has for itself until it ends.
type claim struct {
	host string
	held net.Listener // nil where the system has only one loopback address
}

// processClaim returns the claim of this process.
var processClaim = sync.OnceValues(func() (*claim, error) { return claimHost(os.Getpid()) })

// claimHost claims the address that belongs to a process id, or one of those after it if
// that is taken. Process ids have at most 22 bits, so those of one machine do not collide;
// those of different process namespaces may.
func claimHost(id int) (*claim, error) {
	if runtime.GOOS != "linux" {
		return &claim{host: "127.0.0.1"}, nil // the only address of the interface
	}
	var err error
	for n := id; n < id+maxClaims; n++ {
		host := net.IPv4(127, 64|byte(n>>16)&63, byte(n>>8), byte(n)).String()
		var ln net.Listener
		if ln, err = net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(claimPort))); err == nil {
			return &claim{host: host, held: ln}, nil
		}
	}
	return nil, errors.Wrap(err, "claim a loopback address")
}

// Host returns the loopback address of this process, without a port. The system does not
// use it as the local address of outgoing connections.
func Host(t testing.TB) string {
	t.Helper()
	c, err := processClaim()
	if err != nil {
		t.Fatal(err)
	}
	return c.host
}

// Listen listens on a port of the process's address that the system chooses.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", net.JoinHostPort(Host(t), "0"))
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// NewServer starts a server like httptest.NewServer, on the process's address.
func NewServer(t testing.TB, handler http.Handler) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(handler)
	_ = s.Listener.Close()
	s.Listener = Listen(t)
	s.Start()
	return s
}

// Settings returns a daemon's settings with the listeners at port 0 of 127.0.0.1 moved to
// the process's address.
func Settings(t testing.TB, text string) []byte {
	t.Helper()
	return []byte(strings.ReplaceAll(text, `"127.0.0.1:0"`, `"`+net.JoinHostPort(Host(t), "0")+`"`))
}

// portCounter counts the ports that were tried.
var portCounter atomic.Int64

// FreeAddress returns an address, as host:port, at which nobody listens, for a process
// that is started later. No other test process gets it, nor a later call.
func FreeAddress(t testing.TB) string {
	t.Helper()
	host := Host(t)
	for range maxPort - minPort {
		// Where all processes share one address, they begin at different ports.
		port := minPort + (int(portCounter.Add(1))+os.Getpid())%(maxPort-minPort)
		address := net.JoinHostPort(host, strconv.Itoa(port))
		if ln, err := net.Listen("tcp", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
	t.Fatalf("no free port of %s between %d and %d", host, minPort, maxPort)
	return ""
}

// UnreachableAddress returns an address, as host:port, that refuses connections until the
// end of the test: its port is bound, and nobody listens on it.
func UnreachableAddress(t testing.TB) string {
	t.Helper()
	host := Host(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	syscall.CloseOnExec(fd)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte(net.ParseIP(host).To4())}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("bound to %v", bound)
	}
	return fmt.Sprintf("%s:%d", host, address.Port)
}
