package guard

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guard holds what the listeners of a process share: the budget for heads and the bound
// on connections. It is safe for concurrent use.
type Guard struct {
	headBudget int
	maxConns   int
	count      func(listener, reason string)
	log        hclog.Logger

	mu         sync.Mutex
	conns      map[*Conn]struct{}
	headCost   int           // sum over conns
	freed      chan struct{} // closed when a connection ends, or one is idle that a listener waits for
	awaitsIdle bool          // a listener waits, as each connection has a request
}

// New returns a guard for heads of headBudget bytes and for maxConns connections over all
// listeners. It calls count with the listener and the reason of each refused head and
// each connection that it closes.
func New(headBudget, maxConns int, count func(listener, reason string), log hclog.Logger) *Guard {
	return &Guard{headBudget: headBudget, maxConns: maxConns, count: count, log: log, conns: map[*Conn]struct{}{}, freed: make(chan struct{})}
}

// HeadCost returns the bytes that heads above the size of usual ones take now.
func (g *Guard) HeadCost() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.headCost
}

// Conns returns the number of open connections that have sent a whole request, and of
// those that have not.
func (g *Guard) Conns() (withRequest, withoutRequest int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.hasSentHead {
			withRequest++
		} else {
			withoutRequest++
		}
	}
	return withRequest, withoutRequest
}

// charge sets the cost of a connection's head. When the budget is spent, the most
// expensive unfinished head goes, those of connections without a whole request first. It
// returns false if that is the connection's own.
func (g *Guard) charge(c *Conn, cost int) bool {
	for {
		victim := g.tryCharge(c, cost)
		if victim == nil {
			return true
		}
		victim.evict(NoMemory{})
		if victim == c {
			return false
		}
	}
}

// tryCharge charges the cost if the budget allows it, and else returns the connection to
// close.
func (g *Guard) tryCharge(c *Conn, cost int) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; !open {
		return c
	}
	if g.headCost+cost-c.cost <= g.headBudget {
		g.headCost += cost - c.cost
		c.cost = cost
		return nil
	}
	victim, victimCost := c, cost
	for other := range g.conns {
		if other == c || other.inRequest || other.cost == 0 {
			continue
		}
		if victim.hasSentHead && !other.hasSentHead || victim.hasSentHead == other.hasSentHead && other.cost > victimCost {
			victim, victimCost = other, other.cost
		}
	}
	return victim
}

// refund ends the charge of a connection's head.
func (g *Guard) refund(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.headCost -= c.cost
	c.cost, c.inRequest = 0, false
}

// noteWholeHead records that a connection has sent a whole head.
func (g *Guard) noteWholeHead(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.hasSentHead, c.inRequest, c.idleSince = true, true, time.Time{}
}

// add registers a connection if there is room and returns true. Otherwise it returns
// what to do for room.
func (g *Guard) add(c *Conn, now time.Time) (bool, shortage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ownFull := c.listener.open >= c.listener.maxConns
	if !ownFull && len(g.conns) < g.maxConns {
		g.conns[c] = struct{}{}
		c.listener.open++
		c.listener.hosts[c.host]++
		return true, shortage{}
	}
	s := shortage{freed: g.freed, oldest: g.victim(c.listener, ownFull)}
	if s.oldest == nil {
		g.awaitsIdle = true
		return false, s
	}
	s.wait = evictionAge - now.Sub(s.oldest.waitingSince())
	return false, s
}

// victim returns the connection to close for a new one of a listener, nil if each has a
// request: of those of the host that has most, the one that has been without a request for
// longest. So a host that opens many closes its own.
func (g *Guard) victim(l *Listener, ownFull bool) *Conn {
	var victim *Conn
	for c := range g.conns {
		if (ownFull && c.listener != l) || !c.isWaiting() {
			continue
		}
		if victim == nil || c.goesBefore(victim) {
			victim = c
		}
	}
	return victim
}

// isWaiting reports whether the connection has sent no whole request, or is idle after one.
func (c *Conn) isWaiting() bool { return !c.hasSentHead || !c.idleSince.IsZero() }

// waitingSince returns since when the connection is without a request.
func (c *Conn) waitingSince() time.Time {
	if c.hasSentHead {
		return c.idleSince
	}
	return c.openedAt
}

// goesBefore reports whether the connection is closed for a new one rather than another.
func (c *Conn) goesBefore(other *Conn) bool {
	mine, others := c.listener.hosts[c.host], other.listener.hosts[other.host]
	if mine != others {
		return mine > others
	}
	return c.waitingSince().Before(other.waitingSince())
}

// shortage is what a new connection can do when there is no room: close an older one
// without a request after a wait, or wait until one ends or has no request any more.
type shortage struct {
	oldest *Conn // nil if each has a request
	wait   time.Duration
	freed  <-chan struct{}
}

// noteIdle records that a connection waits for its next request.
func (g *Guard) noteIdle(c *Conn, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.idleSince = now
	if g.awaitsIdle {
		g.signal()
	}
}

// noteHeadBegun records that the first byte of a head has come.
func (g *Guard) noteHeadBegun(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.idleSince = time.Time{}
}

// signal wakes the listeners that wait for room.
func (g *Guard) signal() {
	close(g.freed)
	g.freed, g.awaitsIdle = make(chan struct{}), false
}

// remove ends all that a connection holds here. It returns false if that was done
// before.
func (g *Guard) remove(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; !open {
		return false
	}
	delete(g.conns, c)
	g.headCost -= c.cost
	c.cost = 0
	c.listener.open--
	if c.listener.hosts[c.host]--; c.listener.hosts[c.host] == 0 {
		delete(c.listener.hosts, c.host)
	}
	g.signal()
	return true
}
