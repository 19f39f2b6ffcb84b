package front

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/io/guard"
)

// copyBody copies a response body and flushes as it arrives. An error means that the
// body is incomplete. A reader that accepts no bytes within the timer's stall time is
// disconnected. What a paused reader has not taken is buffered as far as memory allows,
// so that the sender of the response need not wait.
func copyBody(ctx context.Context, w http.ResponseWriter, resp *http.Response, timer *requestTimer, memory *memoryBudget) error {
	if resp.ContentLength >= 0 && resp.ContentLength <= chunkBytes {
		return copyShort(w, resp, timer)
	}
	guard.AllowStall(ctx, timer.stall)
	q := newChunkQueue(memory)
	var g errgroup.Group
	g.Go(func() error {
		q.fill(resp.Body, timer)
		return nil
	})
	err := q.drain(w, resp.ContentLength, timer.stall)
	q.stop()
	if err != nil {
		_ = resp.Body.Close() // ends a read in progress
	}
	_ = g.Wait()
	q.release()
	return err
}

// copyShort copies a body that fits into one chunk.
func copyShort(w http.ResponseWriter, resp *http.Response, timer *requestTimer) error {
	c := chunks.Get().(*chunk)
	defer chunks.Put(c)
	controller := http.NewResponseController(w)
	remaining := resp.ContentLength
	for {
		n, err := resp.Body.Read(c.bytes[:])
		timer.progressed()
		if n > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(timer.stall))
			if _, werr := w.Write(c.bytes[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		// The server flushes the end of a response of known length.
		if remaining -= int64(n); remaining == 0 {
			continue
		}
		if err := controller.Flush(); err != nil {
			return err
		}
	}
}

// writeResponse copies a response to w, with its trailers. An error means that
// it is incomplete: the connection must then be closed with abort, so that the
// reader does not mistake it for a complete one. The connection is closed after a response
// to a request whose body is not in: if the rest comes late, the server would take it for
// a request.
func writeResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response, p *payload, timer *requestTimer, memory *memoryBudget) error {
	timer.progressed()
	// The request's body may still be read on its way to the target. Without this the server
	// would take a part of it, to keep the connection.
	_ = http.NewResponseController(w).EnableFullDuplex()
	connection := w.Header().Get("Connection")
	copyHeader(w.Header(), resp.Header)
	if connection != "" {
		w.Header().Set("Connection", connection)
	}
	if !p.isIn() {
		w.Header().Set("Connection", "close")
	}
	declared := maps.Clone(resp.Trailer)
	for name := range declared {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(ctx, w, resp, timer, memory); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		if _, ok := declared[name]; !ok {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
	return nil
}

// abort ends the handler and closes the connection of a response that has
// begun.
func abort() { panic(http.ErrAbortHandler) }
