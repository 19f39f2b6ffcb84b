//go:build review

package main

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["forgotten"] = forgotten }

// lateBy is how late a heartbeat arrives after the deregistration.
const lateBy = 2 * time.Second

// forgotten kills a daemon around the deregistration of its endpoint. A heartbeat that
// the endpoint sent before it deregistered arrives after that. The endpoint serves for
// some more seconds and ends.
func forgotten(f *fleet) (bool, error) {
	before, err := f.addNode("a-1", "north", "claims", 20)
	if err != nil {
		return false, err
	}
	after, err := f.addNode("b-1", "north", "returns", 20)
	if err != nil {
		return false, err
	}
	for _, n := range f.nodes {
		n.endpoint.handle = func(w http.ResponseWriter, r *http.Request) { n.endpoint.run(w, r, 500*time.Millisecond, 600) }
	}
	f.configure(7, []route{
		{"claims", "/claims/", "non_idempotent", "claims", "5000ms", 2},
		{"returns", "/returns/", "non_idempotent", "returns", "5000ms", 2},
	})
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var ran [2]int
	var errs [2]error
	wg.Go(func() { ran[0], errs[0] = leave(before, "/claims/1", true) })
	wg.Go(func() { ran[1], errs[1] = leave(after, "/returns/1", false) })
	wg.Wait()
	f.rec.logf("requests that reached the endpoint later than drain after the confirmation: %d (daemon killed after it), %d (daemon killed before it)", ran[0], ran[1])
	return ran[0]+ran[1] > 0, errors.Join(errs[:]...)
}

// leave has the endpoint of a machine leave, with the daemon killed just after the
// confirmation or before. It returns how many requests reached the endpoint later than
// allowed.
func leave(n *node, path string, killAfter bool) (int, error) {
	e, rec := n.endpoint, n.fleet.rec
	c := &client{node: n, name: "c-" + n.name}
	defer c.close()
	c.do(http.MethodPost, path, "{}", 5*time.Second)
	c.close()
	if n.fleet.trouble && !killAfter {
		e.silence()
		if err := n.restartAndWait(); err != nil {
			return 0, err
		}
	}
	beatPath, beatBody := e.beatBody()
	rec.logf("endpoint %s: sends a heartbeat that will be late", n.name)
	if !e.deregister() {
		return 0, errors.New("the deregistration was not confirmed")
	}
	confirmed := time.Now()
	if n.fleet.trouble && killAfter {
		if err := n.restartAndWait(); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Until(confirmed.Add(lateBy)))
	rec.logf("endpoint %s: the late heartbeat arrives, confirmed: %v", n.name, e.post(beatPath, beatBody))
	// By then the machine has been in touch again for more than a second.
	time.Sleep(time.Until(confirmed.Add(touchBound + lateBy)))
	ran, unanswered := 0, 0
	end := confirmed.Add(touchBound + lateBy + 4*time.Second)
	time.AfterFunc(time.Until(end)-700*time.Millisecond, func() {
		rec.logf("endpoint %s: ends", n.name)
		e.stop()
	})
	for time.Now().Before(end) {
		res := c.do(http.MethodPost, path, "{}", 5*time.Second)
		if e.count(res.attempt) > 0 && time.Since(confirmed) > drainBound {
			ran++
			if res.status != http.StatusOK {
				unanswered++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.logf("machine %s: %d requests ran, of which %d failed as the endpoint ended", n.name, ran, unanswered)
	return ran, nil
}

// restartAndWait kills the daemon, starts it again and waits until it is ready.
func (n *node) restartAndWait() error {
	if err := n.restart(syscall.SIGKILL); err != nil {
		return err
	}
	for range 100 {
		if n.ready() {
			n.fleet.rec.logf("daemon %s: ready again", n.name)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("the daemon is not ready again")
}
