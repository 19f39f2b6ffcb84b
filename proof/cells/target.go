package cells

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"anvilstand/proof/audit"
	"anvilstand/proof/cable"
)

// takes is how long a target runs a request.
const takes = 5 * time.Millisecond

// target answers each request with its identity, and calls on for a chain.
type target struct {
	node   *node
	wrap   func(http.Handler) http.Handler
	mu     sync.Mutex
	host   *cable.Host
	client *http.Client
}

func (t *target) start() error {
	host := t.node.fleet.cable.Host(t.node.backIP())
	ln, err := host.Listen(t.node.backIP() + ":80")
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

// crash ends the target and starts it again after a time.
func (t *target) crash(after time.Duration) {
	t.mu.Lock()
	t.host.Crash()
	t.mu.Unlock()
	t.node.fleet.group.Go(func() error {
		time.Sleep(after)
		return t.start()
	})
}

// ServeHTTP runs one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := t.node.fleet.history
	id := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	from := h.Now()
	body, _ := io.ReadAll(r.Body)
	t.inspect(r, body)
	time.Sleep(takes)
	if strings.HasPrefix(r.URL.Path, "/chain/") {
		t.callOn(r, id)
	}
	h.AddRan(audit.NewRan(id, domains[t.node.n], from, h.Now()))
	_, _ = fmt.Fprint(w, id, strings.Repeat(".", padding), ending)
}

// padding makes an answer longer than one write of the network.
const padding = 6000

// ending ends each whole answer.
const ending = "whole"

// inspect looks for keys in what reached the target.
func (t *target) inspect(r *http.Request, body []byte) {
	all := fmt.Sprint(r.URL.String(), r.Header, r.Trailer, string(body))
	for _, key := range keys {
		if strings.Contains(all, key) {
			t.node.fleet.history.Leak("target " + t.node.name())
		}
	}
}

// callOn makes the request of a chain, through the target's own daemon.
func (t *target) callOn(r *http.Request, id string) {
	t.mu.Lock()
	client := t.client
	t.mu.Unlock()
	out, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+t.node.front()+"/stock/items/"+id+".sub", http.NoBody)
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
