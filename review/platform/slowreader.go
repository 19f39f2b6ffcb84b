//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slowreader"] = slowReader }

const (
	imageBytes  = 1 << 20
	readPause   = 4 * time.Second
	readerLimit = 20 * time.Second
	// maxLost is how many connections without an answer the rule allows.
	maxLost = 3
)

// slowReader has six clients fetch an image on a connection that they have used before.
// Each reads the header, then nothing for readPause, then the rest.
func slowReader(f *fleet) (bool, error) {
	n, err := f.addNode("a-1", "north", "firmware", 50)
	if err != nil {
		return false, err
	}
	n.endpoint.handle = func(w http.ResponseWriter, r *http.Request) {
		size := 600
		if r.URL.Path == "/images/motor" {
			size = imageBytes
		}
		n.endpoint.run(w, r, 5*time.Millisecond, size)
	}
	f.configure(7, []route{{"images", "/images/", "download", "firmware", "30000ms", 2}})
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var lost atomic.Int64
	for i := range 6 {
		wg.Go(func() {
			c := &client{node: n, name: fmt.Sprintf("c%d", i)}
			defer c.close()
			c.do(http.MethodGet, "/images/list", "", readerLimit)
			res := c.send(http.MethodGet, "/images/motor", "", readerLimit)
			if res.err == nil {
				c.receive(&res, http.MethodGet, readerLimit, func(io.Reader) {
					if f.trouble {
						f.rec.logf("client %s: has the header, reads on after %v", c.name, readPause)
						time.Sleep(readPause)
					}
				})
			}
			f.rec.logf("client %s: GET /images/motor %v", c.name, res)
			if !res.complete && n.endpoint.count(res.attempt) > 0 {
				lost.Add(1)
			}
		})
	}
	wg.Wait()
	f.rec.logf("passed on, connection closed without a complete answer: %d", lost.Load())
	return lost.Load() > maxLost, nil
}
