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

// buffer can be written and read at once.
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

// TestOrder has all lines written in order, those that wait at the end too.
func TestOrder(t *testing.T) {
	var b buffer
	w := logs.New(&b)
	ctx, stop := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return w.Run(ctx) })
	var want strings.Builder
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
		_, _ = fmt.Fprintf(&want, "line %d\n", i)
	}
	stop()
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want.String(), b.String()); diff != "" {
		t.Error(diff)
	}
}

// TestStoppedReader has nobody read what is written. The authors must not wait,
// and must learn how much was left out once somebody reads.
func TestStoppedReader(t *testing.T) {
	const lines = 5000
	in, out := io.Pipe()
	w := logs.New(out)
	ctx, stop := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return w.Run(ctx) })
	began := time.Now()
	for range lines {
		_, _ = w.Write([]byte("line\n"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("%d lines took %s", lines, took)
	}
	if w.Lost() == 0 {
		t.Error("no line was left out")
	}
	var b buffer
	g.Go(func() error {
		_, err := io.Copy(&b, in)
		return err
	})
	for end := time.Now().Add(5 * time.Second); !strings.Contains(b.String(), `"lines left out"`); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing says that lines were left out")
		}
	}
	stop()
	_ = out.Close()
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}
