package front

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/trace"
)

// notes lets traffic goroutines share a trace.Ring.
type notes struct {
	mu   sync.Mutex
	ring trace.Ring
}

// note remembers a decision about a call.
func (f *Front) note(call model.Call, s trace.Step) {
	now := f.clock.Now()
	f.notes.mu.Lock()
	defer f.notes.mu.Unlock()
	f.notes.ring.Add(now, call.ID(), s)
}

// Trace returns what this daemon decided about a request, a line a step.
func (f *Front) Trace(id model.Request) []string {
	f.notes.mu.Lock()
	defer f.notes.mu.Unlock()
	return f.notes.ring.Lines(id)
}
