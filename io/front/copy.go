package front

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// copyBuffers holds buffers for copying between two connections.
var copyBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// copyBody copies a response body and flushes after each read. An error means
// that the body is incomplete. A reader that accepts no bytes within the
// timer's stall time is disconnected.
func copyBody(w http.ResponseWriter, resp *http.Response, timer *requestTimer) error {
	buf := copyBuffers.Get().(*[32 << 10]byte)
	defer copyBuffers.Put(buf)
	controller := http.NewResponseController(w)
	remaining := resp.ContentLength
	for {
		n, err := resp.Body.Read(buf[:])
		timer.progressed()
		if n > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(timer.stall))
			if _, werr := w.Write(buf[:n]); werr != nil {
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
// reader does not mistake it for a complete one.
func writeResponse(w http.ResponseWriter, resp *http.Response, timer *requestTimer) error {
	timer.progressed()
	connection := w.Header().Get("Connection")
	copyHeader(w.Header(), resp.Header)
	if connection != "" {
		w.Header().Set("Connection", connection)
	}
	declared := maps.Clone(resp.Trailer)
	for name := range declared {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp, timer); err != nil {
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
