package front

import (
	"context"
	"sync"
)

// work counts the requests under way, so that a planned stop can wait for them.
type work struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{}
}

func (w *work) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n++
}

func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n--
	w.check()
}

func (w *work) check() {
	if w.closed && w.n == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

// drained returns a channel that is closed once no request is under way.
func (w *work) drained() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	idle := make(chan struct{})
	w.closed, w.idle = true, idle
	w.check()
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
	f.gate.close()
	select {
	case <-f.work.drained():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Free closes the idle connections, once the work is done.
func (f *Front) Free() {
	f.peers.CloseIdleConnections()
	f.freshPeers.CloseIdleConnections()
	f.target.CloseIdleConnections()
	f.freshTarget.CloseIdleConnections()
}
