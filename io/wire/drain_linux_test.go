package wire_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"anvilstand/io/wire"
)

// TestDrain checks that a drained listener still accepts a connection that was
// opened before, and that one opened afterwards is not established.
func TestDrain(t *testing.T) {
	ln, err := wire.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	before, err := wire.TCP{}.DialContext(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	if err := wire.IgnoreNewConnections(ln); err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if after, err := (wire.TCP{}).DialContext(short, "tcp", ln.Addr().String()); err == nil {
		_ = after.Close()
		t.Error("connected to a drained listener")
	}
	if got := acceptAndSend(t, ln, before); got != "whole" {
		t.Errorf("connection opened before the drain received %q", got)
	}
}

func acceptAndSend(t *testing.T, ln net.Listener, client net.Conn) string {
	t.Helper()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "whole"); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	text, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
