package guard

import (
	"net"
	"sync"
	"time"
)

// Listener accepts connections whose heads it checks, up to a number of them.
type Listener struct {
	net.Listener
	guard    *Guard
	name     string
	maxConns int
	limits   func() Limits
	open     int            // under the guard's lock
	hosts    map[string]int // open connections by the caller's host, under the guard's lock
	done     chan struct{}
	closing  sync.Once

	mu      sync.Mutex
	refused int         // since the last calm
	calm    *time.Timer // nil while nothing is refused
}

// Listen wraps a listener. It keeps up to maxConns connections open; limits is asked for
// the limits of each request, and of each wait for one.
func (g *Guard) Listen(ln net.Listener, name string, maxConns int, limits func() Limits) *Listener {
	return &Listener{Listener: ln, guard: g, name: name, maxConns: maxConns, limits: limits, hosts: map[string]int{}, done: make(chan struct{})}
}

// Accept returns the next connection, when there is room for it. One that has been without
// a request for evictionAge is closed for a newer one (see Guard.victim).
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := l.newConn(conn)
	for {
		added, s := l.guard.add(c, time.Now())
		if added {
			c.idle()
			return c, nil
		}
		if s.oldest != nil && s.wait <= 0 {
			s.oldest.evict(NoRoom{})
			continue
		}
		if !l.await(s) {
			_ = conn.Close()
			return nil, net.ErrClosed
		}
	}
}

// await waits until there may be room. It returns false if the listener is closed.
func (l *Listener) await(s shortage) bool {
	var old <-chan time.Time
	if s.oldest != nil {
		timer := time.NewTimer(s.wait)
		defer timer.Stop()
		old = timer.C
	}
	select {
	case <-s.freed:
	case <-old:
	case <-l.done:
		return false
	}
	return true
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.closing.Do(func() {
		close(l.done)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.calm != nil {
			l.calm.Stop()
		}
	})
	return l.Listener.Close()
}

// isClosed reports whether the listener was closed.
func (l *Listener) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// note counts a refusal or a closed connection, and logs the first after a calm.
func (l *Listener) note(r Reason) {
	reason := ReasonName(r)
	l.guard.count(l.name, reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	if l.isClosed() {
		return
	}
	if l.calm != nil {
		l.calm.Reset(calmTime)
		return
	}
	l.calm = time.AfterFunc(calmTime, l.noteCalm)
	l.guard.log.Warn("connections refused", "listener", l.name, "reason", reason)
}

func (l *Listener) noteCalm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refused == 0 {
		return // a refusal has set the timer anew while it ran out
	}
	l.guard.log.Info("connections refused no longer", "listener", l.name, "refused", l.refused)
	l.calm, l.refused = nil, 0
}
