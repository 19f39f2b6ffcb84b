//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["stray"] = straySuccess }

// garbleEvery is the share of answers after which the faulty endpoint sends additional
// bytes: one in garbleEvery.
const garbleEvery = 40

// strayBytes are additional bytes that have neither the id of a request nor a seal.
const strayBytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// straySuccess has a faulty endpoint send additional bytes after some of its complete
// answers, late: at the point where the next answer is expected. It counts the successes
// without a seal that one client gets.
func straySuccess(f *fleet) (bool, error) {
	n, err := f.addNode("a-1", "north", "claims", 50)
	if err != nil {
		return false, err
	}
	e := n.endpoint
	var answers, extras atomic.Int64
	err = e.serveRaw(func(conn net.Conn, reader *bufio.Reader) {
		for extra := false; ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if extra {
				extras.Add(1)
				f.rec.logf("endpoint %s: additional bytes of the answer before: %q", n.name, strayBytes)
				_, _ = io.WriteString(conn, strayBytes)
			}
			attempt := e.begin(r)
			time.Sleep(5 * time.Millisecond)
			body := bodyOf(attempt, 600)
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
				attempt, sealOf(body), len(body), body)
			if err != nil {
				return
			}
			extra = f.trouble && answers.Add(1)%garbleEvery == 0
		}
	})
	if err != nil {
		return false, err
	}
	// A second endpoint of the service is sound.
	if _, err := f.addNode("a-2", "north", "claims", 50); err != nil {
		return false, err
	}
	f.configure(7, []route{{"claims", "/claims/", "non_idempotent", "claims", "5000ms", 2}})
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	c := &client{node: n, name: "c"}
	defer c.close()
	wrong := 0
	for range 400 {
		if res := c.do(http.MethodPost, "/claims/1", "{}", 5*time.Second); res.status/100 == 2 && res.seal == "" {
			wrong++
			f.rec.logf("client c: %s got a success without a seal", res.attempt)
		}
	}
	f.rec.logf("requests: 400; additional bytes: %d times; successes without a seal: %d", extras.Load(), wrong)
	return wrong > 0, nil
}
