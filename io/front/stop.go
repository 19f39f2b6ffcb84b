package front

import (
	"context"
	"sync"
	"time"

	"anvilstand/core/model"
)

// activeRequests counts the handlers of callers and peers in progress, so that
// Shutdown can wait for them.
type activeRequests struct {
	mu      sync.Mutex
	count   int
	awaited bool          // allEnded was called
	idle    chan struct{} // closed by signalIdle
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

// signalIdle closes the channel of allEnded once no request is in progress.
func (a *activeRequests) signalIdle() {
	if a.awaited && a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// allEnded returns a channel that is closed once no request is in progress. It
// serves one waiter: a second call replaces the channel.
func (a *activeRequests) allEnded() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	idle := make(chan struct{})
	a.awaited, a.idle = true, idle
	a.signalIdle()
	return idle
}

// StartDrain starts the drain of a planned stop: callers are told to close their
// connections and peers to choose other targets, while new requests are still
// accepted.
func (f *Front) StartDrain() { f.draining.Store(true) }

// Draining reports whether the drain of a planned stop has started.
func (f *Front) Draining() bool { return f.draining.Load() }

// Shutdown refuses new requests, except the downstream calls of running ones that must
// end before the stop does (see checkStop), and waits until all requests have ended or ctx
// is done. Requests that still wait for a
// target withdrawTime before the deadline of ctx are refused. When ctx is done, the
// contexts of the others are ended with endRequests, and up to answerTime is given for
// their answers. It may be called once. Its error is that of ctx.
func (f *Front) Shutdown(ctx context.Context, endRequests context.CancelCauseFunc, answerTime time.Duration) error {
	f.draining.Store(true)
	end, _ := ctx.Deadline()
	f.stopEnd.Store(&end)
	f.admission.close()
	ended := f.active.allEnded()
	waitCtx, cancel := waitContext(ctx)
	defer cancel()
	select {
	case <-ended:
		return nil
	case <-waitCtx.Done():
	}
	f.withdrawWaiting(ctx, ended)
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	endRequests(errStopped)
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
	return ctx.Err()
}

// shuttingDown reports whether new requests are refused, since Shutdown was called.
func (f *Front) shuttingDown() bool { return f.stopEnd.Load() != nil }

// checkStop refuses a request that may still run when the planned stop ends: its deadline
// is later, or does not cover its response. It would be broken off at its target then.
func (f *Front) checkStop(j *job) error {
	end := f.stopEnd.Load()
	if end == nil || end.IsZero() || (j.coversResponse && !j.deadline.After(*end)) {
		return nil
	}
	return model.Refuse(model.Leaving{}, 0)
}

// waitContext returns a context that ends withdrawTime before ctx.
func waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, end.Add(-withdrawTime))
}

// CloseIdleConnections closes the idle connections to peers and to the target. It
// is called after Shutdown.
func (f *Front) CloseIdleConnections() {
	f.peerTransport.CloseIdleConnections()
	f.freshPeerTransport.CloseIdleConnections()
	f.targetTransport.CloseIdleConnections()
	f.freshTargetTransport.CloseIdleConnections()
}
