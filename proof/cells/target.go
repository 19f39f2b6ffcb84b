package cells

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"anvilstand/proof/audit"
	"anvilstand/proof/memnet"
)

// serviceTime is how long a target works on a request, without the calls that it
// makes.
const serviceTime = 5 * time.Millisecond

// target answers each request with the request's id. For a chain it first calls
// another service.
type target struct {
	node   *node
	wrap   func(http.Handler) http.Handler
	mu     sync.Mutex
	host   *memnet.Host
	client *http.Client
}

// start starts the target as a new process.
func (t *target) start() error {
	host := t.node.fleet.net.Host(t.node.targetIP())
	ln, err := host.Listen(t.node.targetIP() + ":80")
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.host, t.client = host, newCaller(host)
	t.mu.Unlock()
	handler := http.Handler(t)
	if t.wrap != nil {
		handler = t.wrap(handler)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	t.node.fleet.group.Go(func() error {
		_ = s.Serve(ln)
		return nil
	})
	return nil
}

// crash crashes the target and starts it again after a delay.
func (t *target) crash(delay time.Duration) {
	t.mu.Lock()
	t.host.Crash()
	t.mu.Unlock()
	t.node.fleet.group.Go(func() error {
		time.Sleep(delay)
		return t.start()
	})
}

// ServeHTTP executes one request and adds its execution to the history.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := t.node.fleet.history
	id := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	from := h.Now()
	body, _ := io.ReadAll(r.Body)
	t.checkLeaks(r, body)
	time.Sleep(serviceTime)
	if strings.HasPrefix(r.URL.Path, "/chain/") {
		t.callNext(r, id)
	}
	h.AddExecution(audit.NewExecution(id, domains[t.node.domain], from, h.Now()))
	_, _ = fmt.Fprint(w, id, strings.Repeat(".", answerPadding), answerSuffix)
}

// answerPadding is how many bytes make an answer longer than one write of the
// HTTP server.
const answerPadding = 6000

// answerSuffix is the end of each complete answer.
const answerSuffix = "whole"

// checkLeaks searches what reached the target for keys.
func (t *target) checkLeaks(r *http.Request, body []byte) {
	all := fmt.Sprint(r.URL.String(), r.Header, r.Trailer, string(body))
	for _, key := range callerKeys {
		if strings.Contains(all, key) {
			t.node.fleet.history.AddLeak("target " + t.node.name())
		}
	}
}

// callNext calls the second service of a chain through the target's own daemon,
// and ignores how the call ends.
func (t *target) callNext(r *http.Request, id string) {
	t.mu.Lock()
	client := t.client
	t.mu.Unlock()
	out, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+t.node.frontAddress()+"/stock/items/"+id+".sub", http.NoBody)
	if err != nil {
		return
	}
	out.Header.Set("Anvil", r.Header.Get("Anvil"))
	answer, err := client.Do(out)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
}
