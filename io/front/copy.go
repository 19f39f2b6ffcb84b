package front

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// buffers hold what is on its way between two connections.
var buffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// stream copies an answer and flushes as it goes. An error means that the
// answer broke off.
func stream(w http.ResponseWriter, body io.Reader) error {
	buf := buffers.Get().(*[32 << 10]byte)
	defer buffers.Put(buf)
	flusher := http.NewResponseController(w)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
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
		if err := flusher.Flush(); err != nil {
			return err
		}
	}
}

// answer passes a whole answer on. When it breaks off, the caller's connection
// is reset, so that the caller does not take a part for the whole.
func answer(w http.ResponseWriter, from *http.Response) {
	copyHeader(w.Header(), from.Header)
	for name := range from.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(from.StatusCode)
	if err := stream(w, from.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range from.Trailer {
		w.Header()[name] = values
	}
}

// body is a request's body that the transport takes for one that cannot be
// sent again, so that it never sends a request twice by itself.
type body struct {
	from    io.Reader
	touched atomic.Bool
}

// Read reads from the caller.
func (b *body) Read(p []byte) (int, error) {
	b.touched.Store(true)
	return b.from.Read(p)
}

// Close does nothing: the server closes the caller's body itself.
func (b *body) Close() error { return nil }
