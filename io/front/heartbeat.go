package front

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the heartbeats of a request under way between two daemons.
const (
	// heartbeatInterval is the time between the interim responses of a daemon whose
	// target has not answered yet.
	heartbeatInterval = time.Second
	// peerSilenceTimeout is how long a peer may send neither an answer nor an interim
	// response.
	peerSilenceTimeout = 2500 * time.Millisecond
)

// heartbeat sends interim responses until the answer begins, so that the other
// end tells a slow target from a connection that went silent.
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

// stop stops the interim responses. It may be called on nil.
func (h *heartbeat) stop() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
}
