// Package cable is a network in memory, for tests: hosts with listeners and
// connections between them, which can be cut, delayed, silenced and reset. It
// waits only on channels and timers, so that it runs in a synctest bubble.
//
// It knows no packets. While a link is cut, the bytes sent over it wait, as TCP
// sends them again, and come through when it heals.
package cable

import (
	"sync"
	"time"
)

// Times of the network.
const (
	// DialTimeout bounds the opening of a connection over a cut link.
	DialTimeout = time.Second
	// GiveUp is after how long the dialing end of a connection takes a lost
	// link for a broken connection, as TCP keep-alive does.
	GiveUp = 10 * time.Second
)

// Cable is the network. The zero value has no hosts.
type Cable struct {
	mu    sync.Mutex
	hosts map[string]*Host
	rules map[pair]rule
	conns map[*Conn]bool
	tap   Tap
	seen  map[string]bool
	delay time.Duration
}

// pair is the direction from one host to another.
type pair struct{ from, to string }

// rule is how a direction misbehaves.
type rule struct {
	cut   bool
	delay time.Duration
}

// SetDelay sets the one-way delay of every link that has none of its own.
func (c *Cable) SetDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// SetTap sets a function that sees each write and says what becomes of it.
func (c *Cable) SetTap(t Tap) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tap = t
}

// Cut stops what is sent from one host to another, and new connections between
// them, until Heal.
func (c *Cable) Cut(from, to string) { c.change(from, to, func(r *rule) { r.cut = true }) }

// Heal lets a cut direction work again.
func (c *Cable) Heal(from, to string) { c.change(from, to, func(r *rule) { r.cut = false }) }

// Slow sets the delay of one direction. Zero takes it back.
func (c *Cable) Slow(from, to string, d time.Duration) {
	c.change(from, to, func(r *rule) { r.delay = d })
}

func (c *Cable) change(from, to string, f func(*rule)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rules == nil {
		c.rules = map[pair]rule{}
	}
	r := c.rules[pair{from, to}]
	f(&r)
	c.rules[pair{from, to}] = r
	c.wakeAll()
	if r.cut {
		c.giveUpLater(from, to)
	}
}

func (c *Cable) giveUpLater(from, to string) {
	for conn := range c.conns {
		if conn.joins(from, to) {
			time.AfterFunc(GiveUp, func() { c.giveUp(conn) })
		}
	}
}

func (c *Cable) giveUp(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !conn.dialer {
		conn = conn.peer
	}
	if conn.silent || conn.peer.silent || c.isCut(conn.in) || c.isCut(conn.out) {
		conn.failOne(errTimedOut)
	}
}

// Silence makes the connections that are open between two hosts swallow what
// is sent on them, for good. New ones work.
func (c *Cable) Silence(a, b string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if conn.joins(a, b) {
			conn.silent = true
			time.AfterFunc(GiveUp, func() { c.giveUp(conn) })
		}
	}
}

// Reset breaks the connections that are open between two hosts.
func (c *Cable) Reset(a, b string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if conn.joins(a, b) {
			conn.fail(errReset)
		}
	}
}

// Close ends every host.
func (c *Cable) Close() {
	c.mu.Lock()
	hosts := make([]*Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		hosts = append(hosts, h)
	}
	c.mu.Unlock()
	for _, h := range hosts {
		h.Crash()
	}
}

func (c *Cable) isCut(p pair) bool {
	if c.rules[p].cut {
		return true
	}
	from, to := c.hosts[p.from], c.hosts[p.to]
	return (from != nil && from.frozen) || (to != nil && to.frozen)
}

func (c *Cable) lag(p pair) time.Duration {
	if d := c.rules[p].delay; d > 0 {
		return d
	}
	return c.delay
}

func (c *Cable) wakeAll() {
	for conn := range c.conns {
		conn.wake()
	}
	for _, h := range c.hosts {
		h.wake()
	}
}

// Part cuts, or heals, the links between the hosts for which inside holds and
// all others: what comes in only, or both ways.
func (c *Cable) Part(inside func(ip string) bool, in, cut bool) {
	for _, p := range c.pairs() {
		if inside(p.from) == inside(p.to) || (in && inside(p.from)) {
			continue
		}
		c.change(p.from, p.to, func(r *rule) { r.cut = cut })
	}
}

func (c *Cable) pairs() []pair {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []pair
	for from := range c.seen {
		for to := range c.seen {
			all = append(all, pair{from, to})
		}
	}
	return all
}

// Freeze freezes the host at an IP number.
func (c *Cable) Freeze(ip string) { c.freeze(ip, true) }

// Thaw ends Freeze.
func (c *Cable) Thaw(ip string) { c.freeze(ip, false) }

func (c *Cable) freeze(ip string, frozen bool) {
	c.mu.Lock()
	h := c.hosts[ip]
	c.mu.Unlock()
	if h != nil {
		h.setFrozen(frozen)
	}
}
