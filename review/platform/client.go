//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client is a caller on a machine that keeps one connection open.
type client struct {
	node   *node
	name   string
	conn   net.Conn
	reader *bufio.Reader
	sent   int    // requests on the connection
	key    string // of the tenant, if there are tenants
}

var attempts atomic.Int64

// newAttempt returns the id of a new attempt.
func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// result is what a client saw of one request.
type result struct {
	attempt  string
	status   int // 0 without a complete answer
	seal     string
	complete bool
	reused   bool // the connection had been used before
	err      error
	took     time.Duration
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: no complete answer after %d ms: %v (reused connection: %v)", r.attempt, r.took.Milliseconds(), r.err, r.reused)
	}
	return fmt.Sprintf("%s: status %d, seal %q, after %d ms (reused connection: %v)", r.attempt, r.status, r.seal, r.took.Milliseconds(), r.reused)
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and reads the answer.
func (c *client) do(method, path string, body string, limit time.Duration) result {
	res := c.send(method, path, body, limit)
	if res.err == nil {
		c.receive(&res, method, limit, nil)
	}
	c.node.fleet.rec.logf("client %s: %s %s %v", c.name, method, path, res)
	return res
}

// send sends a request, on the open connection if there is one.
func (c *client) send(method, path, body string, limit time.Duration) result {
	res := result{attempt: newAttempt(), reused: c.conn != nil && c.sent > 0}
	if res.err = c.open(); res.err != nil {
		return res
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, routeHost, res.attempt, limit.Milliseconds())
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	c.node.fleet.rec.logf("client %s: sends %s %s %s", c.name, method, path, res.attempt)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		res.err = err
		c.close()
	}
	c.sent++
	return res
}

// receive reads the answer. A pause, if there is one, is called when the header is in.
func (c *client) receive(res *result, method string, limit time.Duration, pause func(io.Reader)) {
	start := time.Now()
	defer func() { res.took = time.Since(start) }()
	_ = c.conn.SetReadDeadline(start.Add(limit + 500*time.Millisecond))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		res.err = err
		c.close()
		return
	}
	if pause != nil {
		pause(resp.Body)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil {
		res.err = err
		c.close()
		return
	}
	res.status, res.seal, res.complete = resp.StatusCode, resp.Header.Get("X-Response-Seal"), true
	if resp.Close {
		c.close()
	}
}

// doChunked sends a POST whose body of n bytes goes in chunks, and reads the answer.
func (c *client) doChunked(path string, n int, limit time.Duration) result {
	res := result{attempt: newAttempt(), reused: c.conn != nil && c.sent > 0}
	if res.err = c.open(); res.err != nil {
		return res
	}
	const chunk = 16 << 10
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		path, routeHost, res.attempt, limit.Milliseconds(), c.key)
	for body := bodyOf(res.attempt, n); len(body) > 0; {
		part := body[:min(chunk, len(body))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
		body = body[len(part):]
		if res.err == nil {
			_, res.err = io.WriteString(c.conn, b.String())
		}
		b.Reset()
	}
	if res.err == nil {
		_, res.err = io.WriteString(c.conn, "0\r\n\r\n")
	}
	c.sent++
	// An answer that came before the body was in is still read.
	res.err = nil
	c.receive(&res, http.MethodPost, limit, nil)
	c.node.fleet.rec.logf("client %s: POST %s %v", c.name, path, res)
	return res
}

// open opens the connection unless it is open.
func (c *client) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.node.addr(portOutbound), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.sent = conn, bufio.NewReader(conn), 0
	return nil
}
