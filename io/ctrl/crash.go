package ctrl

import (
	"sync"

	"anvilstand/core/crash"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/io/clock"
)

// SharedCrashes is a crash.Tracker that is safe for concurrent use: the control goroutine
// adds reports, traffic goroutines ask and clear suspects. Its lock is held for short
// computations only.
type SharedCrashes struct {
	clock   clock.Clock
	mu      sync.RWMutex
	tracker crash.Tracker
}

// State returns whether a request to the target beside this daemon is clear, suspect or
// poison.
func (c *SharedCrashes) State(p model.Fingerprint) crash.State {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.tracker.State(c.clock.Now(), p)
}

// MarkServed clears a request to which a target has begun to respond.
func (c *SharedCrashes) MarkServed(p model.Fingerprint) {
	c.mu.RLock()
	suspected := c.tracker.IsSuspected(p)
	c.mu.RUnlock()
	if !suspected {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.MarkServed(p)
}

func (c *SharedCrashes) addReport(now model.Instant, r crash.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.AddReport(now, r)
}

// TargetCrashed reports that the target beside this daemon broke its
// connections.
type TargetCrashed struct{ report crash.Report }

func (TargetCrashed) isCommand() {}

// NewTargetCrashed returns the command for a crash of the target beside this daemon.
func NewTargetCrashed(r crash.Report) TargetCrashed { return TargetCrashed{report: r} }

// Crashes returns the requests that are suspected of crashing targets.
func (l *Loop) Crashes() *SharedCrashes { return l.crashes }

// handleCrash records a crash of the target beside this daemon and reports it
// to the other daemons of the service.
func (l *Loop) handleCrash(now model.Instant, r crash.Report, out *peer.Outbox) {
	l.crashes.addReport(now, r)
	self := l.node.Self()
	for _, m := range l.serving.byService[self.Service()] {
		if m.Name() != self.Name() {
			out.Add(m.Name(), peer.NewCrashReport(r))
		}
	}
}
