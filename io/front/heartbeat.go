package front

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the heartbeats that a daemon sends while a relayed request runs.
const (
	// heartbeatInterval is the time between interim responses while the target
	// has not answered.
	heartbeatInterval = time.Second
	// peerSilenceTimeout is how long a peer may send neither a response nor an
	// interim response.
	peerSilenceTimeout = 2500 * time.Millisecond
)

// heartbeat sends interim responses until the response begins, so that the peer
// can tell a slow target from a dead connection.
type heartbeat struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func startHeartbeat(w http.ResponseWriter) *heartbeat {
	h := &heartbeat{w: w}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(heartbeatInterval, h.send)
	return h
}

func (h *heartbeat) send() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	h.w.WriteHeader(http.StatusProcessing)
	h.timer.Reset(heartbeatInterval)
}

// stop stops the interim responses. A nil heartbeat is allowed.
func (h *heartbeat) stop() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
}
