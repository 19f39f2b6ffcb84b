package front

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the heartbeats of a request under way between two daemons.
const (
	// beatEvery is the time between the interim responses of a daemon whose
	// target has not answered yet.
	beatEvery = time.Second
	// silence is how long a peer may send neither an answer nor an interim
	// response.
	silence = 2500 * time.Millisecond
)

// beater sends interim responses until the answer begins, so that the other
// end tells a slow target from a connection that went silent.
type beater struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	timer *time.Timer
	ended bool
}

func startBeat(w http.ResponseWriter) *beater {
	b := &beater{w: w}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(beatEvery, b.beat)
	return b
}

func (b *beater) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.w.WriteHeader(http.StatusProcessing)
	b.timer.Reset(beatEvery)
}

// end stops the interim responses. It may be called on nil.
func (b *beater) end() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.timer.Stop()
}
