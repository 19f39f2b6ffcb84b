//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// exchange is one request of a client and how it ended.
type exchange struct {
	id       string
	method   string
	host     string
	path     string
	key      string        // API key, empty for none
	deadline time.Duration // that the client tells
	pause    time.Duration // after the head of the answer, before the body is read
	status   int
	size     int // bytes of the body that were read
	whole    bool
	err      error
}

// dial opens a connection of a client. A window above zero is the size of its receive
// buffer in bytes.
func dial(ctx context.Context, address string, window int) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	if window > 0 {
		d.Control = func(_, _ string, c syscall.RawConn) error {
			var setErr error
			err := c.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window) })
			if err != nil {
				return err
			}
			return setErr
		}
	}
	return d.DialContext(ctx, "tcp", address)
}

// run sends the request on a connection and reads the answer.
func (e *exchange) run(ctx context.Context, conn net.Conn, rec *record) {
	rec.note("send     %s %s %s%s", e.id, e.method, e.host, e.path)
	_ = conn.SetDeadline(time.Now().Add(e.deadline))
	head := []string{
		e.method + " " + e.path + " HTTP/1.1", "Host: " + e.host, "X-Attempt-Id: " + e.id,
		"X-Deadline-Ms: " + strconv.FormatInt(e.deadline.Milliseconds(), 10), "Content-Length: 0",
	}
	if e.key != "" {
		head = append(head, "X-Credential: "+e.key)
	}
	head = append(head, "", "")
	if _, e.err = io.WriteString(conn, strings.Join(head, "\r\n")); e.err == nil {
		e.err = e.read(ctx, conn)
	}
	rec.note("answered %s", e)
}

// awaitServed sends probes to the daemon of a machine until one is answered with 200.
func (r *rig) awaitServed(ctx context.Context, m machine, host, path string) error {
	n := 0
	return r.await(ctx, 20*time.Second, func() bool {
		n++
		conn, err := dial(ctx, m.front(), 0)
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		e := &exchange{id: fmt.Sprintf("probe-%s-%d", m.name, n), method: http.MethodGet, host: host, path: path, deadline: time.Second}
		e.run(ctx, conn, r.record)
		return e.status == http.StatusOK && e.whole
	})
}

func (e *exchange) read(ctx context.Context, conn net.Conn) error {
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), nil)
	if err != nil {
		return errors.Wrap(err, "read the head")
	}
	defer resp.Body.Close()
	e.status = resp.StatusCode
	if err := sleep(ctx, e.pause); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	e.size, e.whole = int(n), err == nil
	return err
}

// String implements fmt.Stringer.
func (e *exchange) String() string {
	return fmt.Sprintf("%s status %d, %d bytes, whole %v, error: %v", e.id, e.status, e.size, e.whole, e.err)
}
