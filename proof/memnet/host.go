package memnet

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Errors of connections.
var (
	errTimedOut error = syscall.ETIMEDOUT
	errReset    error = syscall.ECONNRESET
	errRefused  error = syscall.ECONNREFUSED
)

// Host is a process with an IP address of its own. It implements wire.Network.
type Host struct {
	net       *Network
	ip        string
	crashed   bool
	frozen    bool
	changed   chan struct{}
	listeners map[string]*listener
	nextPort  int
}

// firstPort is the first port given to listeners on port 0 and to dialed
// connections.
const firstPort = 40000

// Host returns a new process at an IP address. An earlier one at the address
// must have crashed.
func (n *Network) Host(ip string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts, n.knownIPs = map[string]*Host{}, map[string]bool{}
	}
	h := &Host{
		net: n, ip: ip, changed: make(chan struct{}),
		listeners: map[string]*listener{}, nextPort: firstPort,
	}
	n.hosts[ip], n.knownIPs[ip] = h, true
	return h
}

// IP returns the host's IP address.
func (h *Host) IP() string { return h.ip }

// Crash ends the process: its listeners are closed and its connections reset.
func (h *Host) Crash() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.crashed = true
	h.frozen = false
	for _, ln := range h.listeners {
		ln.close()
	}
	for conn := range h.net.conns {
		if conn.host == h || conn.peer.host == h {
			conn.fail(errReset)
		}
	}
	if h.net.hosts[h.ip] == h {
		delete(h.net.hosts, h.ip)
	}
	h.net.wakeAll()
	h.wake()
}

// Freeze holds back what the host sends and receives, until Thaw. Its
// connections and listeners stay open.
func (h *Host) Freeze() { h.setFrozen(true) }

// Thaw ends Freeze.
func (h *Host) Thaw() { h.setFrozen(false) }

func (h *Host) setFrozen(frozen bool) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.frozen = frozen
	h.net.wakeAll()
}

// wake wakes the dials of the host that wait. The network's lock is held.
func (h *Host) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Listen listens at an address, of which only the port counts. Port 0 takes a
// free one.
func (h *Host) Listen(address string) (net.Listener, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if port == "0" {
		port = strconv.Itoa(h.nextPort)
		h.nextPort++
	}
	if h.crashed || h.listeners[port] != nil {
		return nil, errors.Wrapf(syscall.EADDRINUSE, "listen at %s", address)
	}
	ln := &listener{host: h, port: port, queue: make(chan *Conn, backlog), closing: make(chan struct{})}
	h.listeners[port] = ln
	return ln, nil
}

// DialContext connects to an address. Over a cut link it waits for the link to
// heal, for DialTimeout at most.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	for {
		conn, wait, changed, err := h.tryDial(address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		if conn != nil {
			return conn, sleep(ctx, wait)
		}
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errTimedOut}
		case <-changed:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// tryDial returns a connection and the time that opening it takes. When the
// link is cut it returns a channel that is closed when the network changes.
func (h *Host) tryDial(address string) (*Conn, time.Duration, chan struct{}, error) {
	n := h.net
	ip, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, 0, nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.crashed {
		return nil, 0, nil, errReset
	}
	there, back := direction{h.ip, ip}, direction{ip, h.ip}
	if h.frozen || n.rules[there].cut || n.rules[back].cut {
		return nil, 0, h.changed, nil
	}
	to := n.hosts[ip]
	if n.rules[there].refused || to == nil || to.listeners[port] == nil || to.listeners[port].draining {
		return nil, 0, nil, errRefused
	}
	near, far := n.connect(h, to, port)
	select {
	case to.listeners[port].queue <- far:
	default:
		near.fail(errRefused)
		return nil, 0, nil, errRefused
	}
	return near, n.latency(there) + n.latency(back), nil, nil
}

// connect returns the two ends of a new connection, the dialing one first. The
// network's lock is held.
func (n *Network) connect(from, to *Host, port string) (*Conn, *Conn) {
	if n.conns == nil {
		n.conns = map[*Conn]bool{}
	}
	from.nextPort++
	here := address(net.JoinHostPort(from.ip, strconv.Itoa(from.nextPort)))
	there := address(net.JoinHostPort(to.ip, port))
	near := &Conn{net: n, host: from, local: here, remote: there, dialer: true, changed: make(chan struct{})}
	far := &Conn{net: n, host: to, local: there, remote: here, changed: make(chan struct{})}
	near.peer, far.peer = far, near
	near.outbound, near.inbound = direction{from.ip, to.ip}, direction{to.ip, from.ip}
	far.outbound, far.inbound = near.inbound, near.outbound
	n.conns[near], n.conns[far] = true, true
	return near, far
}

type address string

// Network returns "tcp".
func (a address) Network() string { return "tcp" }

// String returns the address as host:port.
func (a address) String() string { return string(a) }

// backlog is how many connections may wait to be accepted. More are refused.
const backlog = 1024

type listener struct {
	host    *Host
	port    string
	queue   chan *Conn
	closing chan struct{}
	closed  bool
	// A draining listener refuses new connections.
	draining bool
}

// DropSYNs makes the listener refuse new connections. Those that wait in its
// backlog are still accepted.
func (l *listener) DropSYNs() error {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	l.draining = true
	return nil
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closing:
		return nil, net.ErrClosed
	}
}

// Close stops listening and resets the connections in the backlog.
func (l *listener) Close() error {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	l.close()
	return nil
}

func (l *listener) close() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.host.listeners, l.port)
	close(l.closing)
	for len(l.queue) > 0 {
		(<-l.queue).fail(errReset)
	}
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return address(net.JoinHostPort(l.host.ip, l.port)) }
