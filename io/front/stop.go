package front

import (
	"context"
	"sync"
)

// activeRequests counts the requests under way, so that a planned stop can wait for them.
type activeRequests struct {
	mu       sync.Mutex
	count    int
	stopping bool
	idle     chan struct{}
}

func (a *activeRequests) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

func (a *activeRequests) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	a.signalIdle()
}

func (a *activeRequests) signalIdle() {
	if a.stopping && a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// drained returns a channel that is closed once no request is under way.
func (a *activeRequests) drained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	idle := make(chan struct{})
	a.stopping, a.idle = true, idle
	a.signalIdle()
	return idle
}

// Announce begins a planned stop: callers are told to close their connections,
// while new work is still taken.
func (f *Front) Announce() { f.leaving.Store(true) }

// Leaving reports whether a planned stop has begun.
func (f *Front) Leaving() bool { return f.leaving.Load() }

// Close refuses new work for a planned stop, but for the calls that running
// requests make, and waits until all work is done or ctx ends.
func (f *Front) Close(ctx context.Context) error {
	f.leaving.Store(true)
	f.refusing.Store(true)
	f.admission.close()
	select {
	case <-f.active.drained():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Free closes the idle connections, once the work is done.
func (f *Front) Free() {
	f.peerTransport.CloseIdleConnections()
	f.freshPeerTransport.CloseIdleConnections()
	f.targetTransport.CloseIdleConnections()
	f.freshTargetTransport.CloseIdleConnections()
}
