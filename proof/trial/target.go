package trial

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"anvilstand/core/model"
	"anvilstand/proof/audit"
)

// chainDepth is the number of services in a chain of calls.
const chainDepth = 3

// target is an HTTP server that executes a bounded number of requests at a time.
// It answers each with the request's id, and for a chain first calls the next
// service through its own daemon.
type target struct {
	fleet     *fleet
	service   service
	index     int
	domain    model.Domain
	slots     chan struct{}
	slowdown  atomic.Int64
	downUntil atomic.Int64 // end of a crash, in nanoseconds since the start of the history
	server    *httptest.Server
	front     string
	caller    *http.Client
}

func newTarget(f *fleet, s service, i int) *target {
	t := &target{
		fleet: f, service: s, index: i, domain: domains[i%len(domains)],
		slots: make(chan struct{}, s.slots), caller: newCaller(),
	}
	t.slowdown.Store(1)
	t.server = httptest.NewServer(t)
	return t
}

// answerSuffix is the end of each complete answer.
const answerSuffix = " whole"

// ServeHTTP executes one request, once a slot is free. A target that is down
// aborts the connection.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.fleet.history.Now() < time.Duration(t.downUntil.Load()) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/probe"):
		_, _ = io.WriteString(w, answerSuffix)
		return
	case strings.HasPrefix(r.URL.Path, "/poison"):
		t.crash()
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return
	}
	t.run(w, r)
}

// run executes a request and adds its execution to the history.
func (t *target) run(w http.ResponseWriter, r *http.Request) {
	h := t.fleet.history
	id, from := idOf(r.URL.Path), h.Now()
	body, _ := io.ReadAll(r.Body)
	t.checkLeaks(r, body)
	time.Sleep(t.service.serviceTime * time.Duration(t.slowdown.Load()))
	if strings.HasPrefix(r.URL.Path, "/chain/") {
		t.callNext(r, id)
	}
	h.AddExecution(audit.NewExecution(id, t.domain, from, h.Now()))
	_, _ = fmt.Fprint(w, id, answerSuffix)
}

func idOf(path string) string { return path[strings.LastIndex(path, "/")+1:] }

// crashDuration is how long a crashed target is down.
const crashDuration = time.Second

// crash closes every connection, as the end of the target's process would, and
// aborts the current request.
func (t *target) crash() {
	t.fleet.crashes.Add(1)
	t.downUntil.Store(int64(t.fleet.history.Now() + crashDuration))
	t.fleet.group.Go(func() error {
		t.server.CloseClientConnections()
		return nil
	})
	panic(http.ErrAbortHandler)
}

// checkLeaks searches a request for keys of callers and operators.
func (t *target) checkLeaks(r *http.Request, body []byte) {
	all := fmt.Sprint(r.URL.String(), r.Header, string(body))
	if strings.Contains(all, keyPrefix) || strings.Contains(all, operatorKey) {
		t.fleet.history.AddLeak("target of " + string(t.service.name))
	}
}

// callNext calls the next service of a chain through the target's own daemon,
// and ignores how the call ends.
func (t *target) callNext(r *http.Request, id string) {
	next, ok := t.fleet.profile.nextInChain(t.service.name)
	if !ok {
		return
	}
	out, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+t.front+"/"+string(next)+"/chain/"+id+".sub", http.NoBody)
	if err != nil {
		return
	}
	out.Header.Set("Anvil", r.Header.Get("Anvil"))
	answer, err := t.caller.Do(out)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}
