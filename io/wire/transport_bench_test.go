package wire_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
)

// BenchmarkCarry compares two transports for requests between daemons: HTTP on
// pooled connections, and CBOR frames on one WebSocket. It reports p50 and p99 of
// the latency in microseconds.
func BenchmarkCarry(b *testing.B) {
	ways := map[string]func(*testing.B) func([]byte) error{"http": overHTTP, "frames": overFrames}
	for _, name := range []string{"http", "frames"} {
		for _, callers := range []int{1, 16, 128} {
			for _, size := range []int{200, 64 << 10} {
				b.Run(fmt.Sprintf("%s/callers=%d/bytes=%d", name, callers, size), func(b *testing.B) {
					b.ReportAllocs()
					measureCalls(b, callers, make([]byte, size), ways[name](b))
				})
			}
		}
	}
}

func measureCalls(b *testing.B, callers int, body []byte, call func([]byte) error) {
	var (
		g  errgroup.Group
		mu sync.Mutex
		h  = hdrhistogram.New(1, int64(time.Minute), 3)
	)
	b.ResetTimer()
	for i := range callers {
		g.Go(func() error {
			for n := i; n < b.N; n += callers {
				start := time.Now()
				if err := call(body); err != nil {
					return err
				}
				mu.Lock()
				_ = h.RecordValue(int64(time.Since(start)))
				mu.Unlock()
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
}

func overHTTP(b *testing.B) func([]byte) error {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	b.Cleanup(server.Close)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.Cleanup(client.CloseIdleConnections)
	return func(body []byte) error {
		resp, err := client.Post(server.URL, "text/plain", bytes.NewReader(body))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
}

// multiplex sends the requests of many callers over one WebSocket and matches the
// responses to them by ID.
type multiplex struct {
	conn    *websocket.Conn
	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan []byte
}

func overFrames(b *testing.B) func([]byte) error {
	server := httptest.NewServer(http.HandlerFunc(echoFrames))
	b.Cleanup(server.Close)
	conn, _, err := websocket.Dial(context.Background(), strings.Replace(server.URL, "http", "ws", 1), nil)
	if err != nil {
		b.Fatal(err)
	}
	conn.SetReadLimit(1 << 20)
	b.Cleanup(func() { _ = conn.CloseNow() })
	m := &multiplex{conn: conn, pending: map[uint64]chan []byte{}}
	var g errgroup.Group
	g.Go(m.read)
	return m.call
}

func (m *multiplex) call(body []byte) error {
	answer := make(chan []byte, 1)
	m.mu.Lock()
	m.next++
	id := m.next
	m.pending[id] = answer
	m.mu.Unlock()
	data, err := cbor.Marshal([]any{id, body})
	if err != nil {
		return err
	}
	if err := m.conn.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		return err
	}
	<-answer
	return nil
}

func (m *multiplex) read() error {
	for {
		_, data, err := m.conn.Read(context.Background())
		if err != nil {
			return err
		}
		id, body, err := decodeFrame(data)
		if err != nil {
			return err
		}
		m.mu.Lock()
		answer := m.pending[id]
		delete(m.pending, id)
		m.mu.Unlock()
		answer <- body
	}
}

func echoFrames(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(1 << 20)
	var g errgroup.Group
	for {
		_, data, err := conn.Read(r.Context())
		if err != nil {
			return
		}
		g.Go(func() error {
			id, body, err := decodeFrame(data)
			if err != nil {
				return err
			}
			answer, err := cbor.Marshal([]any{id, body})
			if err != nil {
				return err
			}
			return conn.Write(r.Context(), websocket.MessageBinary, answer)
		})
	}
}

func decodeFrame(data []byte) (uint64, []byte, error) {
	var raw []cbor.RawMessage
	if err := cbor.Unmarshal(data, &raw); err != nil {
		return 0, nil, err
	}
	var (
		id   uint64
		body []byte
	)
	if err := cbor.Unmarshal(raw[0], &id); err != nil {
		return 0, nil, err
	}
	return id, body, cbor.Unmarshal(raw[1], &body)
}
