package front

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"anvilstand/core/model"
)

// copyBuffers hold what is on its way between two connections.
var copyBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// copyBody copies an answer and flushes as it goes. An error means that the
// answer broke off. A caller that takes nothing for the limit's stall time is
// cut off.
func copyBody(w http.ResponseWriter, resp *http.Response, d *deadline) error {
	buf := copyBuffers.Get().(*[32 << 10]byte)
	defer copyBuffers.Put(buf)
	controller := http.NewResponseController(w)
	remaining := resp.ContentLength
	for {
		n, err := resp.Body.Read(buf[:])
		d.progressed()
		if n > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(d.stall))
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
		// The end of an answer of known length is flushed by the server.
		if remaining -= int64(n); remaining == 0 {
			continue
		}
		if err := controller.Flush(); err != nil {
			return err
		}
	}
}

// writeResponse passes an writeResponse on. An error means that it broke off: abort then
// closes the connection, so that its reader does not take a part for the whole.
func writeResponse(w http.ResponseWriter, resp *http.Response, d *deadline) error {
	d.progressed()
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
	if err := copyBody(w, resp, d); err != nil {
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

// abort cuts off the connection of an answer that has begun.
func abort() { panic(http.ErrAbortHandler) }

// requestBody is a request's requestBody that the transport takes for one that cannot be
// sent again, so that it never sends a request twice by itself.
type requestBody struct {
	src         io.Reader
	controller  *http.ResponseController
	stall       time.Duration
	readStarted atomic.Bool
	failure     atomic.Pointer[model.Refusal]
}

// Read reads from the caller, which has the stall time to send something.
func (b *requestBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	if b.controller == nil {
		return b.src.Read(p)
	}
	_ = b.controller.SetReadDeadline(time.Now().Add(b.stall))
	n, err := b.src.Read(p)
	if err == io.EOF {
		_ = b.controller.SetReadDeadline(time.Time{})
	} else if err != nil {
		b.failure.Store(bodyRefusal(err))
	}
	return n, err
}

// Close does nothing: the server closes the caller's body itself.
func (b *requestBody) Close() error { return nil }
