package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// endpoint is a stand-in of the application endpoint beside a daemon. It answers with its
// own seal, echoes the id of each request and reports itself to its daemon.
type endpoint struct {
	rec       *record
	node      *node
	id        string
	slots     int
	warmUntil time.Time // it is cold until then
	born      int64
	sequence  atomic.Int64
	// handle works on a request that names this endpoint, and answers it.
	handle func(e *endpoint, w http.ResponseWriter, r *http.Request, body []byte)
}

// beatInterval is the time between two beats, as the settings of the platform say.
const beatInterval = 1500 * time.Millisecond

// run serves the endpoint and sends its beats until ctx ends.
func (e *endpoint) run(ctx context.Context) error {
	ln, err := net.Listen("tcp", e.node.app)
	if err != nil {
		return err
	}
	e.born = time.Now().UnixMilli()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serveUntil(ctx, ln, http.HandlerFunc(e.serveHTTP)) })
	g.Go(func() error {
		for ctx.Err() == nil {
			wait := beatInterval
			if !e.sendBeat(ctx) {
				wait = beatInterval / 5
			}
			sleep(ctx, wait)
		}
		return nil
	})
	return g.Wait()
}

// sendBeat sends one beat and reports whether it was confirmed.
func (e *endpoint) sendBeat(ctx context.Context) bool {
	body, _ := json.Marshal(map[string]any{
		"address": e.node.app, "born": e.born,
		"info": map[string]any{"service": e.node.service, "version": "v1", "zone": e.node.zone, "slots": e.slots},
		"status": map[string]any{
			"state": "ready", "sequence": e.sequence.Add(1),
			"warmupLeft": fmt.Sprintf("%dms", max(0, time.Until(e.warmUntil).Milliseconds())),
		},
	})
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	address := "http://" + e.node.control + "/api/instances/" + e.id + "/heartbeat"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *endpoint) serveHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		e.rec.add("%s id=%s: the body is broken off: %v", e.id, id, err)
		panic(http.ErrAbortHandler)
	}
	e.handle(e, w, r, body)
}

// noteRun records that the endpoint begins to work on a request, and returns its id.
func (e *endpoint) noteRun(r *http.Request) string {
	id := r.Header.Get("X-Attempt-Id")
	e.rec.add("%s runs id=%s %s %s", e.id, id, r.Method, r.URL.Path)
	return id
}

// answer answers with success and a body.
func (e *endpoint) answer(w http.ResponseWriter, id string, body []byte) {
	w.Header().Set("X-Response-Seal", "seal-"+e.id+"-"+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}
