// Package logs writes log lines without blocking the goroutines that log. It drops
// lines when the reader is too slow; it neither formats nor reads them.
package logs

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

// Bounds of a writer.
const (
	// maxQueuedLines is the number of lines that can wait for a slow reader.
	maxQueuedLines = 1024
	// batchBytes is the size of a write, in bytes, beyond which no line is added
	// to it.
	batchBytes = 32 << 10
)

// Writer queues lines and writes them in the goroutine that calls Run. When the
// queue is full, lines are dropped and counted. The line "lines left out" reports how
// many; its field is count, and it names neither daemon nor time. Writer is safe for
// concurrent use.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a writer that writes to another one. Run must be called once.
func New(to io.Writer) *Writer { return &Writer{to: to, lines: make(chan []byte, maxQueuedLines)} }

// Write queues a copy of a line. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then one more batch of those still queued.
// It returns nil.
func (w *Writer) Run(ctx context.Context) error {
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			w.flush(nil, &reported)
			return nil
		case line := <-w.lines:
			w.flush(line, &reported)
		}
	}
}

// flush adds queued lines to a batch and writes it, with a report of the lines
// dropped since the last one. A write error does not end Run: there is no other
// place to report it.
func (w *Writer) flush(batch []byte, reported *uint64) {
	for n := len(w.lines); n > 0 && len(batch) < batchBytes; n-- {
		batch = append(batch, <-w.lines...)
	}
	if dropped := w.dropped.Load(); dropped != *reported {
		batch = append(batch, `{"@level":"warn","@message":"lines left out","count":`...)
		batch = strconv.AppendUint(batch, dropped-*reported, 10)
		batch = append(batch, "}\n"...)
		*reported = dropped
	}
	_, _ = w.to.Write(batch)
}
