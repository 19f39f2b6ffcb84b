package logs_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/logs"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestOrder checks that lines are written in order, including those queued when
// the context ends.
func TestOrder(t *testing.T) {
	var b buffer
	w := logs.New(&b)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return w.Run(ctx) })
	var want strings.Builder
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
		_, _ = fmt.Fprintf(&want, "line %d\n", i)
	}
	cancel()
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want.String(), b.String()); diff != "" {
		t.Error(diff)
	}
}

// TestStoppedReader writes while nobody reads the log. Writes must not block, and
// the log must report the dropped lines once somebody reads it.
func TestStoppedReader(t *testing.T) {
	const lines = 5000
	in, out := io.Pipe()
	w := logs.New(out)
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return w.Run(ctx) })
	start := time.Now()
	for range lines {
		_, _ = w.Write([]byte("line\n"))
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("writing %d lines took %s, want at most a second", lines, took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	var b buffer
	g.Go(func() error {
		_, err := io.Copy(&b, in)
		return err
	})
	for end := time.Now().Add(5 * time.Second); !strings.Contains(b.String(), `"lines left out"`); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no line of the log reports dropped lines")
		}
	}
	cancel()
	_ = out.Close()
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}
