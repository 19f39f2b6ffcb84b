package guard

import (
	"context"
	"net"
	"net/http"
	"time"

	"anvilstand/io/wire"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Attach makes a server tell its guarded connections when requests end, and answer
// refused heads with refuse in place of its handler.
func Attach(s *http.Server, refuse func(w http.ResponseWriter, r Reason)) {
	s.ConnState = noteState
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && r.Host == refusedHost {
			if reason := c.refusal.Load(); reason != nil {
				refuse(w, *reason)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}

func noteState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.endRequest()
	case http.StateHijacked:
		c.release()
	case http.StateNew, http.StateActive, http.StateClosed:
	}
}

// AllowStall lets the caller of a request accept no data for a time, until its next
// request. ctx is the context of the request.
func AllowStall(ctx context.Context, d time.Duration) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.stalls.Store(true)
		wire.SetUserTimeout(c.Conn, d)
	}
}
