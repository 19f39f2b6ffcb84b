package front

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the interim responses that a daemon sends while a relayed request
// runs.
const (
	// interimInterval is the time between interim responses until the target
	// responds.
	interimInterval = time.Second
	// peerSilenceTimeout is how long a peer may send neither a response nor an
	// interim response before the connection counts as broken. It is longer
	// than two intervals.
	peerSilenceTimeout = 2500 * time.Millisecond
)

// interimSender sends interim responses (status 102) until the response begins, so that the
// peer can tell a slow target from a dead connection.
type interimSender struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func startInterim(w http.ResponseWriter) *interimSender {
	s := &interimSender{w: w}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(interimInterval, s.send)
	return s
}

func (s *interimSender) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.w.WriteHeader(http.StatusProcessing)
	s.timer.Reset(interimInterval)
}

// stop stops the interim responses. A nil interimSender is allowed.
func (s *interimSender) stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
