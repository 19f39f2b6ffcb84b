package daemon_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/wire"
)

// numberedBody is a body of size bytes, in which each eight hold their number.
type numberedBody struct{ next, size uint64 }

// Read implements io.Reader, for buffers of at least eight bytes.
func (b *numberedBody) Read(p []byte) (int, error) {
	n := 0
	for ; n+8 <= len(p) && b.next*8 < b.size; b.next++ {
		binary.BigEndian.PutUint64(p[n:], b.next)
		n += 8
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// misplacedNumber reads a numberedBody to its end or until it breaks off. It returns the
// numbers that were in their place, and the first one that was not, if any.
func misplacedNumber(r io.Reader) (placed uint64, misplaced string) {
	in := bufio.NewReader(r)
	var b [8]byte
	for _, err := io.ReadFull(in, b[:]); err == nil; _, err = io.ReadFull(in, b[:]) {
		if got := binary.BigEndian.Uint64(b[:]); got != placed {
			return placed, fmt.Sprintf("number %d in place of %d", got, placed)
		}
		placed++
	}
	return placed, ""
}

// TestEarlyAnswerKeepsBody guards against a target that gets other bytes where the rest of
// a body is due, after it has answered before it read the body. It may get less of it.
func TestEarlyAnswerKeepsBody(t *testing.T) {
	const upload = 8 << 20 // bytes
	cases := map[string]struct{ answer string }{
		"with a length":    {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		"without a length": {answer: "HTTP/1.1 200 OK\r\n\r\nok"},
		"in chunks":        {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			misplaced := make(chan string, 1)
			f := newFleet(t)
			entry := f.add("entry-north-1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), "")
			stock := f.addOnNetwork("stock-north-1", startRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, tc.answer)
				time.Sleep(100 * time.Millisecond)
				n, found := misplacedNumber(r.Body)
				t.Logf("%s: %d numbers in their place", name, n)
				misplaced <- found
			}), "", wire.TCP{})
			f.configure(entry)
			for name, d := range map[string]*testDaemon{"one daemon": stock, "two daemons": entry} {
				sendNumbered(t, d, upload)
				if diff := cmp.Diff("", <-misplaced); diff != "" {
					t.Error(name, diff)
				}
			}
		})
	}
}

// sendNumbered sends a numbered body in chunks, and reads the answer meanwhile.
func sendNumbered(t *testing.T, d *testDaemon, size uint64) {
	t.Helper()
	conn, err := net.Dial("tcp", d.FrontAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var g errgroup.Group
	g.Go(func() error {
		_, _ = io.WriteString(conn, "POST /stock/uploads HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
		w := httputil.NewChunkedWriter(conn)
		_, _ = io.CopyBuffer(w, struct{ io.Reader }{&numberedBody{size: size}}, make([]byte, 32<<10))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return nil
	})
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = g.Wait()
}
