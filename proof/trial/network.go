package trial

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"anvilstand/core/model"
	"anvilstand/io/store"
	"anvilstand/io/wire"
)

// network is the trial's network: TCP with a count of the bytes sent on links
// between daemons, with connections that can be blackholed and failure domains
// that can be cut off.
type network struct {
	mu        sync.Mutex
	conns     map[*conn]bool
	domainOf  map[string]model.Domain
	cutOff    map[model.Domain]bool
	linkBytes atomic.Int64
}

// domainNetwork is the network as the daemons of one failure domain reach it. It
// implements wire.Network.
type domainNetwork struct {
	wire.TCP
	net    *network
	domain model.Domain
}

// conn is a connection that a daemon opened.
type conn struct {
	net.Conn
	net        *network
	from       model.Domain
	to         model.Domain
	isLink     bool
	wrote      bool
	blackholed atomic.Bool
}

// Listen listens at an address and records the address's failure domain.
func (d domainNetwork) Listen(address string) (net.Listener, error) {
	ln, err := d.TCP.Listen(address)
	if err != nil {
		return nil, err
	}
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	if d.net.domainOf == nil {
		d.net.domainOf, d.net.cutOff = map[string]model.Domain{}, map[model.Domain]bool{}
		d.net.conns = map[*conn]bool{}
	}
	d.net.domainOf[ln.Addr().String()] = d.domain
	return ln, nil
}

// DialContext connects to an address. When the two ends are cut off from each
// other it fails after a second.
func (d domainNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to, cut := d.net.route(d.domain, address)
	if cut {
		t := time.NewTimer(time.Second)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		return nil, context.DeadlineExceeded
	}
	tcpConn, err := d.TCP.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: tcpConn, net: d.net, from: d.domain, to: to}
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	d.net.conns[c] = true
	return c, nil
}

// route returns the failure domain of an address, and whether it cannot be
// reached from another one. An unknown address counts as the same domain.
func (n *network) route(from model.Domain, address string) (to model.Domain, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := n.domainOf[address]
	if !ok {
		to = from
	}
	return to, from != to && (n.cutOff[from] || n.cutOff[to])
}

// setCut cuts a failure domain off, or ends that. The connections that were open
// between it and others stay blackholed.
func (n *network) setCut(d model.Domain, cutOff bool) {
	n.mu.Lock()
	n.cutOff[d] = cutOff
	n.mu.Unlock()
	if cutOff {
		n.blackholeDomain(d)
	}
}

func (n *network) isCutOff(d model.Domain) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutOff[d]
}

// blackholeDomain blackholes the open connections between a domain and others.
func (n *network) blackholeDomain(d model.Domain) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if conn.from != conn.to && (conn.from == d || conn.to == d) {
			conn.blackholed.Store(true)
		}
	}
}

// blackhole blackholes the open connections whose remote address matches.
func (n *network) blackhole(match func(address string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if match(conn.RemoteAddr().String()) {
			conn.blackholed.Store(true)
		}
	}
}

// Write sends bytes, or drops them when the connection is blackholed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.wrote {
		c.wrote = true
		c.isLink = len(b) > len(linkRequest) && string(b[:len(linkRequest)]) == linkRequest
	}
	if c.blackholed.Load() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	if c.isLink {
		c.net.linkBytes.Add(int64(n))
	}
	return n, err
}

// linkRequest is how the first write of a link between daemons begins.
const linkRequest = "GET /link "

// Read receives bytes, and drops them while the connection is blackholed.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// domainStore is the store as the daemons of one failure domain reach it: unavailable
// while the domain is cut off.
type domainStore struct {
	store  store.Store
	net    *network
	domain model.Domain
}

// Get reads a key, or returns store.ErrUnavailable.
func (s domainStore) Get(ctx context.Context, key string) (store.Item, error) {
	if s.net.isCutOff(s.domain) {
		return store.Item{}, store.ErrUnavailable
	}
	return s.store.Get(ctx, key)
}

// Swap writes a key by compare-and-swap, or returns store.ErrUnavailable.
func (s domainStore) Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error) {
	if s.net.isCutOff(s.domain) {
		return 0, store.ErrUnavailable
	}
	return s.store.Swap(ctx, key, version, data, ttl)
}

// Watch waits for a key to change, or returns store.ErrUnavailable.
func (s domainStore) Watch(ctx context.Context, key string, version uint64) (store.Item, error) {
	if s.net.isCutOff(s.domain) {
		return store.Item{}, store.ErrUnavailable
	}
	item, err := s.store.Watch(ctx, key, version)
	if s.net.isCutOff(s.domain) {
		return store.Item{}, store.ErrUnavailable
	}
	return item, err
}
