// Package memnet is an in-memory network for tests: hosts with listeners and
// connections between them, whose links can be cut, delayed, blackholed and
// reset. It waits only on channels and timers, so that it runs in a synctest
// bubble.
//
// It simulates no packets. While a link is cut, the bytes sent over it are
// queued and arrive when it heals, as TCP would retransmit them. Which fault occurs
// when is decided by its users.
package memnet

import (
	"sync"
	"time"
)

// Timeouts of connections.
const (
	// DialTimeout is after how long a dial over a cut link fails.
	DialTimeout = time.Second
	// KeepAliveTimeout is after how long the dialing end of a connection fails
	// when its link is cut or blackholed, as with TCP keep-alive.
	KeepAliveTimeout = 10 * time.Second
)

// Network is an in-memory network. The zero value has no hosts. It is safe for
// concurrent use.
type Network struct {
	mu       sync.Mutex
	hosts    map[string]*Host // by IP address
	rules    map[direction]rule
	conns    map[*Conn]bool
	tap      Tap
	knownIPs map[string]bool // also of hosts that crashed
	delay    time.Duration
}

// direction is one direction of a link between two hosts, by IP address.
type direction struct{ from, to string }

// rule is the fault of one direction.
type rule struct {
	cut     bool
	refused bool
	delay   time.Duration
}

// SetDelay sets the default one-way delay. SetLinkDelay overrides it for a
// link.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// SetTap sets the function that decides on each write. A nil tap passes all.
func (n *Network) SetTap(t Tap) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = t
}

// Cut holds back what is sent from one host to another, and new connections
// between them, until Heal.
func (n *Network) Cut(from, to string) { n.setRule(from, to, func(r *rule) { r.cut = true }) }

// Heal undoes Cut. What was held back arrives.
func (n *Network) Heal(from, to string) { n.setRule(from, to, func(r *rule) { r.cut = false }) }

// SetLinkDelay sets the delay of one direction. Zero restores the default.
func (n *Network) SetLinkDelay(from, to string, d time.Duration) {
	n.setRule(from, to, func(r *rule) { r.delay = d })
}

func (n *Network) setRule(from, to string, f func(*rule)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rules == nil {
		n.rules = map[direction]rule{}
	}
	r := n.rules[direction{from, to}]
	f(&r)
	n.rules[direction{from, to}] = r
	n.wakeAll()
	if r.cut {
		n.scheduleTimeout(from, to)
	}
}

// scheduleTimeout makes the connections over a cut link fail, unless it heals
// in time. The network's lock is held.
func (n *Network) scheduleTimeout(from, to string) {
	for conn := range n.conns {
		if conn.connects(from, to) {
			time.AfterFunc(KeepAliveTimeout, func() { n.timeOut(conn) })
		}
	}
}

// timeOut fails the dialing end of a connection that is still cut or
// blackholed.
func (n *Network) timeOut(conn *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !conn.dialer {
		conn = conn.peer
	}
	if conn.blackholed || conn.peer.blackholed || n.isCut(conn.inbound) || n.isCut(conn.outbound) {
		conn.failEnd(errTimedOut)
	}
}

// Blackhole makes the connections that are open between two hosts drop whatever
// is sent on them, for good, without an error. New connections work.
func (n *Network) Blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if conn.connects(a, b) {
			conn.blackholed = true
			time.AfterFunc(KeepAliveTimeout, func() { n.timeOut(conn) })
		}
	}
}

// Reset resets the connections that are open between two hosts.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if conn.connects(a, b) {
			conn.fail(errReset)
		}
	}
}

// Close crashes every host.
func (n *Network) Close() {
	n.mu.Lock()
	hosts := make([]*Host, 0, len(n.hosts))
	for _, h := range n.hosts {
		hosts = append(hosts, h)
	}
	n.mu.Unlock()
	for _, h := range hosts {
		h.Crash()
	}
}

// isCut reports whether nothing passes: the direction is cut, or one of its
// hosts is frozen. The network's lock is held.
func (n *Network) isCut(d direction) bool {
	if n.rules[d].cut {
		return true
	}
	from, to := n.hosts[d.from], n.hosts[d.to]
	return (from != nil && from.frozen) || (to != nil && to.frozen)
}

func (n *Network) latency(d direction) time.Duration {
	if own := n.rules[d].delay; own > 0 {
		return own
	}
	return n.delay
}

// wakeAll makes whoever waits on the network check its state again. The
// network's lock is held.
func (n *Network) wakeAll() {
	for conn := range n.conns {
		conn.wake()
	}
	for _, h := range n.hosts {
		h.wake()
	}
}

// Partition cuts or heals the links between the hosts inside and all others:
// only the inbound direction, or both.
func (n *Network) Partition(inside func(ip string) bool, inboundOnly, cut bool) {
	for _, d := range n.directions() {
		if inside(d.from) == inside(d.to) || (inboundOnly && inside(d.from)) {
			continue
		}
		n.setRule(d.from, d.to, func(r *rule) { r.cut = cut })
	}
}

// Refuse has new connections between the hosts inside and all others refused, as
// by a firewall that rejects them, and resets the open ones. With on false it ends
// that.
func (n *Network) Refuse(inside func(ip string) bool, on bool) {
	for _, d := range n.directions() {
		if inside(d.from) == inside(d.to) {
			continue
		}
		n.setRule(d.from, d.to, func(r *rule) { r.refused = on })
		if on {
			n.Reset(d.from, d.to)
		}
	}
}

// directions returns every direction between two hosts, past ones included.
func (n *Network) directions() []direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []direction
	for from := range n.knownIPs {
		for to := range n.knownIPs {
			all = append(all, direction{from, to})
		}
	}
	return all
}

// Freeze freezes the host at an IP address, if there is one.
func (n *Network) Freeze(ip string) { n.setFrozen(ip, true) }

// Thaw ends Freeze.
func (n *Network) Thaw(ip string) { n.setFrozen(ip, false) }

func (n *Network) setFrozen(ip string, frozen bool) {
	n.mu.Lock()
	h := n.hosts[ip]
	n.mu.Unlock()
	if h != nil {
		h.setFrozen(frozen)
	}
}
