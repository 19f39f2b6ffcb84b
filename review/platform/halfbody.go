//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["halfbody"] = halfBody }

// Sizes and times of the case. The limit of a tenant that is hot and the length of the
// disturbance are those of the site file.
const (
	bodyMachines = 6
	bodySlots    = 10
	usualClients = 40
	hotFactor    = 7.5
	hotTime      = 6500 * time.Millisecond
	hotPause     = 2500 * time.Millisecond
	bodyTime     = 60 * time.Second
	maxThink     = 80 * time.Millisecond // of a client between two requests
	maxBodySize  = 60000                 // bytes
	bodyLimit    = 3 * time.Second
	enoughBodies = 3 // changed bodies after which the case ends early
)

// bodyCheck counts the requests that endpoints ran and those with a changed body.
type bodyCheck struct{ ran, changed atomic.Int64 }

// serve checks the body of a request, whose length is in its path, and runs it.
func (b *bodyCheck) serve(e *endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		got, err := io.ReadAll(r.Body)
		if err != nil {
			return // not a whole request
		}
		size := 0
		_, _ = fmt.Sscanf(r.URL.Path, "/claims/%d", &size)
		attempt := r.Header.Get("X-Attempt-Id")
		b.ran.Add(1)
		if string(got) != string(bodyOf(attempt, size)) {
			b.changed.Add(1)
			e.node.fleet.rec.logf("endpoint %s: runs %s %s %s with a changed body: %d bytes instead of %d", e.node.name, r.Method, r.URL.Path, attempt, len(got), size)
		}
		e.run(w, r, rand.N(20*time.Millisecond), 600)
	}
}

// halfBody has the clients of a tenant send requests with bodies in chunks. With trouble
// the tenant sends many times its usual.
func halfBody(f *fleet) (bool, error) {
	var check bodyCheck
	for i := range bodyMachines {
		n, err := f.addNode(fmt.Sprintf("a-%d", i+1), []string{"north", "south"}[i%2], "claims", bodySlots)
		if err != nil {
			return false, err
		}
		n.endpoint.handle = check.serve(n.endpoint)
	}
	f.tenants = []map[string]any{{"name": "shops", "apiKeys": []string{tenantKey}}}
	f.configure(7, []route{{"claims", "/claims/", "non_idempotent", "claims", "3000ms", 2}})
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	end := time.Now().Add(bodyTime)
	over := func(until time.Time) bool { return time.Now().After(until) || check.changed.Load() >= enoughBodies }
	var wg sync.WaitGroup
	send := func(clients int, until time.Time) {
		for i := range clients {
			wg.Go(func() {
				c := &client{node: f.nodes[i%len(f.nodes)], name: fmt.Sprintf("c%d", i), key: tenantKey}
				defer c.close()
				for !over(until) {
					size := 1 + rand.IntN(maxBodySize)
					c.doChunked(fmt.Sprintf("/claims/%d", size), size, bodyLimit)
					time.Sleep(rand.N(maxThink))
				}
			})
		}
	}
	send(usualClients, end)
	for f.trouble && !over(end) {
		f.rec.logf("the tenant is hot: %.1f times its clients for %v", hotFactor, hotTime)
		until := time.Now().Add(hotTime)
		send(int(usualClients*hotFactor)-usualClients, until)
		for !over(until) {
			time.Sleep(50 * time.Millisecond)
		}
		f.rec.logf("requests run so far: %d, with a changed body: %d", check.ran.Load(), check.changed.Load())
		time.Sleep(hotPause)
	}
	wg.Wait()
	f.rec.logf("requests run: %d, of these with a changed body: %d", check.ran.Load(), check.changed.Load())
	return check.changed.Load() > 0, nil
}
