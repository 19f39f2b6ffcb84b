package wire_test

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/wire"
)

// TestResetIsNoEnd guards against a reset that a reader takes for the end of the stream,
// because a write on the connection was given the error. What the other end sent before,
// and a connection that it closed in order, must be read to the end.
func TestResetIsNoEnd(t *testing.T) {
	const (
		answer = "answer"
		upload = 8 << 20 // bytes, more than the buffers of the operating system
	)
	readAll := func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, upload) }
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	cases := map[string]struct {
		end        func(conn *net.TCPConn) // of the other end, after its answer
		readFirst  bool                    // the answer is read before the write has ended
		writeFails bool
		whole      bool
	}{
		"reset, write fails first":  {end: reset, writeFails: true},
		"closed without reading":    {end: func(conn *net.TCPConn) { _ = conn.Close() }, writeFails: true},
		"closed for writing":        {end: func(conn *net.TCPConn) { _ = conn.CloseWrite() }, readFirst: true, whole: true},
		"closed when all was read":  {end: func(conn *net.TCPConn) { readAll(conn); _ = conn.Close() }, whole: true},
		"reset when all was read":   {end: func(conn *net.TCPConn) { readAll(conn); reset(conn) }},
		"half closed, then drained": {end: func(conn *net.TCPConn) { _ = conn.CloseWrite(); readAll(conn) }, whole: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			conn, err := wire.TCP{}.DialContext(t.Context(), "tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			peer, err := ln.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			if _, err := io.WriteString(peer, answer); err != nil {
				t.Fatal(err)
			}
			var g errgroup.Group
			g.Go(func() error {
				_, err := conn.Write(make([]byte, upload))
				return err
			})
			g.Go(func() error {
				tc.end(peer)
				return nil
			})
			if !tc.readFirst {
				if err := g.Wait(); (err != nil) != tc.writeFails {
					t.Error("write:", err)
				}
			}
			text, err := io.ReadAll(conn)
			if diff := cmp.Diff(answer, string(text)); diff != "" && tc.whole {
				t.Error(diff)
			}
			if diff := cmp.Diff(tc.whole, err == nil); diff != "" {
				t.Error(diff, err)
			}
			_ = conn.Close()
			if err := g.Wait(); err != nil && !tc.writeFails && !tc.readFirst && !errors.Is(err, net.ErrClosed) {
				t.Error(err)
			}
		})
	}
}
