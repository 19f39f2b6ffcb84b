// Package logs writes log lines without ever making their authors wait.
package logs

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

// Bounds of a writer.
const (
	// waiting is how many lines wait for a reader that is slow.
	waiting = 1024
	// batchBytes is how much is written at a time.
	batchBytes = 32 << 10
)

// Writer takes lines and writes them in a goroutine of its own. Lines that find
// no room are counted and left out, and a line says how many.
type Writer struct {
	to    io.Writer
	lines chan []byte
	lost  atomic.Uint64
}

// New returns a writer onto another one. Run has to be started.
func New(to io.Writer) *Writer { return &Writer{to: to, lines: make(chan []byte, waiting)} }

// Write takes a line. It does not wait, and does not fail.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns how many lines were left out.
func (w *Writer) Lost() uint64 { return w.lost.Load() }

// Run writes the lines until ctx ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) error {
	var told uint64
	for {
		select {
		case <-ctx.Done():
			w.flush(nil, &told)
			return nil
		case line := <-w.lines:
			w.flush(line, &told)
		}
	}
}

// flush writes a line and those that wait behind it. A reader that is gone is
// no reason to stop: there is nowhere to say so.
func (w *Writer) flush(batch []byte, told *uint64) {
	for n := len(w.lines); n > 0 && len(batch) < batchBytes; n-- {
		batch = append(batch, <-w.lines...)
	}
	if lost := w.lost.Load(); lost != *told {
		batch = append(batch, `{"@level":"warn","@message":"lines left out","count":`...)
		batch = strconv.AppendUint(batch, lost-*told, 10)
		batch = append(batch, "}\n"...)
		*told = lost
	}
	_, _ = w.to.Write(batch)
}
