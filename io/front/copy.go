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

// buffers hold what is on its way between two connections.
var buffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// stream copies an answer and flushes as it goes. An error means that the
// answer broke off. A caller that takes nothing for the limit's stall time is
// cut off.
func stream(w http.ResponseWriter, from *http.Response, l *limit) error {
	buf := buffers.Get().(*[32 << 10]byte)
	defer buffers.Put(buf)
	caller := http.NewResponseController(w)
	left := from.ContentLength
	for {
		n, err := from.Body.Read(buf[:])
		l.moved()
		if n > 0 {
			_ = caller.SetWriteDeadline(time.Now().Add(l.stall))
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
		if left -= int64(n); left == 0 {
			continue
		}
		if err := caller.Flush(); err != nil {
			return err
		}
	}
}

// answer passes an answer on. An error means that it broke off: abort then
// closes the connection, so that its reader does not take a part for the whole.
func answer(w http.ResponseWriter, from *http.Response, l *limit) error {
	l.moved()
	last := w.Header().Get("Connection")
	copyHeader(w.Header(), from.Header)
	if last != "" {
		w.Header().Set("Connection", last)
	}
	declared := maps.Clone(from.Trailer)
	for name := range declared {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(from.StatusCode)
	if err := stream(w, from, l); err != nil {
		return err
	}
	for name, values := range from.Trailer {
		if _, ok := declared[name]; !ok {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
	return nil
}

// abort cuts off the connection of an answer that has begun.
func abort() { panic(http.ErrAbortHandler) }

// body is a request's body that the transport takes for one that cannot be
// sent again, so that it never sends a request twice by itself.
type body struct {
	from    io.Reader
	caller  *http.ResponseController
	stall   time.Duration
	touched atomic.Bool
	failed  atomic.Pointer[model.Refusal]
}

// Read reads from the caller, which has the stall time to send something.
func (b *body) Read(p []byte) (int, error) {
	b.touched.Store(true)
	if b.caller == nil {
		return b.from.Read(p)
	}
	_ = b.caller.SetReadDeadline(time.Now().Add(b.stall))
	n, err := b.from.Read(p)
	if err == io.EOF {
		_ = b.caller.SetReadDeadline(time.Time{})
	} else if err != nil {
		b.failed.Store(refuseBody(err))
	}
	return n, err
}

// Close does nothing: the server closes the caller's body itself.
func (b *body) Close() error { return nil }
