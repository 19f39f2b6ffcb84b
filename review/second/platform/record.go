//go:build review

package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes down what was sent, answered and run, with the time since its start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, began: time.Now()} }

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
