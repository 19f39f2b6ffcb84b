package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line an event, with the time since
// the start in milliseconds. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.1f %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}
