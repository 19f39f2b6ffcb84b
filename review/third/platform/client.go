package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, path string
	id, key      string
	limit        time.Duration
	body         []byte
}

// host is the host of all routes.
const host = "loja.example"

// encode returns the bytes of a request.
func (r request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.limit.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "X-Credential: %s\r\n", r.key)
	}
	if len(r.body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// reply is what a client has seen of an answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error // the answer did not come or is not complete
}

// String describes the answer.
func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer: %v", r.err)
	}
	text := fmt.Sprintf("status %d, %d bytes, seal %q", r.status, len(r.body), r.header.Get("X-Response-Seal"))
	if r.err != nil {
		text += fmt.Sprintf(", not complete: %v", r.err)
	}
	return text
}

// isServed reports whether the answer is a whole success with the endpoint's seal.
func (r reply) isServed() bool {
	return r.err == nil && r.status == http.StatusOK && r.header.Get("X-Response-Seal") != ""
}

// client is a connection of a client, which it keeps for several requests.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func newClient(conn net.Conn) *client { return &client{conn: conn, r: bufio.NewReader(conn)} }

// dial connects to a daemon, for which clients allow a second.
func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return newClient(conn), nil
}

// send sends a request, and allows for its answer the time limit and a second more.
func (c *client) send(q request) error {
	_ = c.conn.SetDeadline(time.Now().Add(q.limit + time.Second))
	_, err := c.conn.Write(q.encode())
	return err
}

// read reads the answer to a request that was sent.
func (c *client) read(q request) reply {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return reply{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}

// do sends a request and reads the answer.
func (c *client) do(q request) reply {
	if err := c.send(q); err != nil {
		return reply{err: err}
	}
	return c.read(q)
}

func (c *client) close() { _ = c.conn.Close() }

// once sends a request to a machine on a connection of its own.
func (n *node) once(q request) reply {
	c, err := dial(n.front)
	if err != nil {
		return reply{err: err}
	}
	defer c.close()
	return c.do(q)
}
