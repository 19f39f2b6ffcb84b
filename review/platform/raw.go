//go:build review

package main

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// rawServer serves an endpoint connection by connection, to send bytes that an HTTP
// server would not.
type rawServer struct {
	mu    sync.Mutex
	ln    net.Listener
	conns []net.Conn
}

// serveRaw replaces the HTTP server of the endpoint.
func (e *endpoint) serveRaw(serve func(net.Conn, *bufio.Reader)) error {
	_ = e.server.Close()
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", e.node.addr(portApp)); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s := &rawServer{ln: ln}
	e.mu.Lock()
	e.raw = s
	e.mu.Unlock()
	background(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.add(conn)
			background(func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			})
		}
	})
	return nil
}

func (s *rawServer) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

func (s *rawServer) close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}
