//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["graceend"] = graceEnd }

// Times of the case. The endpoint works on two requests at a time, so the last two of
// six begin after 6.4 s.
const (
	graceWork  = 3200 * time.Millisecond
	graceLimit = 12 * time.Second // time limit of the clients and timeout of the route
	lossSlack  = 200 * time.Millisecond
)

// graceEnd stops one machine as planned while six of its requests wait for a small
// service on another machine. Nothing else disturbs the fleet.
func graceEnd(f *fleet) (bool, error) {
	a, err := f.addNode("a-1", "north", "shop", 50)
	if err != nil {
		return false, err
	}
	b, err := f.addNode("b-1", "north", "claims", 2)
	if err != nil {
		return false, err
	}
	b.endpoint.handle = func(w http.ResponseWriter, r *http.Request) { b.endpoint.run(w, r, graceWork, 600) }
	f.configure(7, []route{
		{"claims", "/claims/", "non_idempotent", "claims", "12000ms", 2},
		{"shop", "/shop/", "idempotent", "shop", "5000ms", 2},
	})
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var unsent, answered atomic.Int64
	for i := range 6 {
		wg.Go(func() {
			c := &client{node: a, name: fmt.Sprintf("c%d", i)}
			defer c.close()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			res := c.do(http.MethodPost, "/claims/1", "{}", graceLimit)
			switch {
			case res.complete:
				answered.Add(1)
			case b.endpoint.count(res.attempt) == 0 && res.took > lossSlack && res.took < graceLimit:
				unsent.Add(1)
				f.rec.logf("client %s: %s had not been passed on to an endpoint when its connection ended", c.name, res.attempt)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if f.trouble {
		a.signal(syscall.SIGTERM)
	}
	wg.Wait()
	f.rec.logf("answered: %d; not passed on and not answered: %d", answered.Load(), unsent.Load())
	return unsent.Load() > 0, nil
}
