//go:build review

package main

import (
	"context"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// endpoint is a stand-in of an application endpoint. It runs up to slots requests at a
// time, reports itself to the daemon on its machine, and records what it runs.
type endpoint struct {
	node  *node
	slots int

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	silent   bool // it sends no heartbeats
	server   *http.Server
	cancel   context.CancelFunc
	starts   int
	sem      chan struct{}
	ran      map[string]int // by attempt id
	handle   http.HandlerFunc
	raw      *rawServer // in place of server, if set
}

func newEndpoint(n *node, slots int) *endpoint {
	return &endpoint{node: n, slots: slots, ran: map[string]int{}, sem: make(chan struct{}, slots)}
}

// start starts a lifetime of the endpoint with a new id.
func (e *endpoint) start() error { return e.startAs(fmt.Sprintf("i-%s-%d", e.node.name, e.starts+1)) }

// startAs starts a lifetime of the endpoint under an id.
func (e *endpoint) startAs(id string) error {
	ln, err := net.Listen("tcp", e.node.addr(portApp))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	e.starts++
	e.id, e.born, e.sequence, e.silent, e.cancel = id, time.Now().UnixMilli(), 0, false, cancel
	s := &http.Server{Handler: e}
	e.server = s
	e.mu.Unlock()
	e.node.fleet.rec.logf("endpoint %s: start of %s", e.node.name, id)
	background(func() { _ = s.Serve(ln) })
	background(func() { e.beats(ctx) })
	return nil
}

// stop ends the process of the endpoint: its connections break.
func (e *endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancel != nil {
		e.cancel()
		_ = e.server.Close()
		if e.raw != nil {
			e.raw.close()
		}
	}
}

// beats sends a heartbeat every beatTime, sooner after one that failed.
func (e *endpoint) beats(ctx context.Context) {
	for ctx.Err() == nil {
		wait := beatTime
		e.mu.Lock()
		silent := e.silent
		e.mu.Unlock()
		if !silent && !e.beat() {
			wait = 300 * time.Millisecond
		}
		sleepUntil(ctx, time.Now().Add(wait))
	}
}

// beatBody returns the next heartbeat.
func (e *endpoint) beatBody() (path, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return "/api/instances/" + e.id + "/heartbeat",
		fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"warmupLeft":"0ms"}}`,
			e.node.addr(portApp), e.born, e.node.service, e.node.zone, e.slots, e.sequence)
}

func (e *endpoint) beat() bool {
	path, body := e.beatBody()
	return e.post(path, body)
}

// post calls the control address of the machine. It reports whether the call was
// confirmed within a second.
func (e *endpoint) post(path, body string) bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+e.node.addr(portControl)+path, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// deregister says that the endpoint leaves.
func (e *endpoint) deregister() bool {
	e.mu.Lock()
	id, born := e.id, e.born
	e.silent = true
	e.mu.Unlock()
	ok := e.post("/api/instances/"+id+"/deregister", fmt.Sprintf(`{"born":%d}`, born))
	e.node.fleet.rec.logf("endpoint %s: deregister of %s confirmed: %v", e.node.name, id, ok)
	return ok
}

// ServeHTTP answers health checks, checks the instance that is expected, and runs the
// request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, handle := e.id, e.handle
	e.mu.Unlock()
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", id)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set("X-Attempt-Id", attempt)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		e.node.fleet.rec.logf("endpoint %s: %s expects %s, this is %s: 421", e.node.name, attempt, want, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if handle != nil {
		handle(w, r)
		return
	}
	e.run(w, r, 5*time.Millisecond, 600)
}

// begin records that the endpoint begins to work on a request.
func (e *endpoint) begin(r *http.Request) string {
	attempt := r.Header.Get("X-Attempt-Id")
	e.mu.Lock()
	e.ran[attempt]++
	n := e.ran[attempt]
	e.mu.Unlock()
	e.node.fleet.rec.logf("endpoint %s: runs %s %s %s (%d)", e.node.name, r.Method, r.URL.Path, attempt, n)
	return attempt
}

// run works on a request and answers it with n bytes.
func (e *endpoint) run(w http.ResponseWriter, r *http.Request, work time.Duration, n int) {
	e.sem <- struct{}{}
	defer func() { <-e.sem }()
	attempt := e.begin(r)
	sleepUntil(r.Context(), time.Now().Add(work))
	respond(w, attempt, n)
}

// respond answers a request with n bytes.
func respond(w http.ResponseWriter, attempt string, n int) {
	body := bodyOf(attempt, n)
	w.Header().Set("X-Response-Seal", sealOf(body))
	w.Header().Set("Content-Length", fmt.Sprint(n))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}

// count returns how often a request has run.
func (e *endpoint) count(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[attempt]
}

func bodyOf(attempt string, n int) []byte {
	if n == 0 {
		return nil
	}
	return []byte(strings.Repeat(attempt+" ", n/(len(attempt)+1)+1))[:n]
}

func sealOf(body []byte) string { return fmt.Sprintf("%d.%08x", len(body), crc32.ChecksumIEEE(body)) }

// silence stops the heartbeats.
func (e *endpoint) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = true
}
