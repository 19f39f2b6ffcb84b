package front

import (
	"bytes"
	"io"
	"net/http"

	"anvilstand/core/model"
	"anvilstand/core/once"
)

// replayResponse returns a stored response as an *http.Response.
func replayResponse(stored *once.Response) *http.Response {
	h := http.Header{}
	copyHeader(h, stored.Header())
	return &http.Response{
		StatusCode:    stored.Status(),
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(stored.Body())),
		ContentLength: int64(len(stored.Body())),
	}
}

// bodyRecorder records a response body while it is read, up to a little more than
// once.MaxResponseBytes, and passes it to onClose. A longer body is not stored.
type bodyRecorder struct {
	io.ReadCloser
	recorded []byte
	complete bool
	onClose  func(body []byte, complete bool)
}

// recordResponse returns the body of a response. When that is closed, it ends the
// call's key with the response, or without one if the response was incomplete or
// had trailers.
func (f *Front) recordResponse(call model.Call, number uint64, resp *http.Response) io.ReadCloser {
	status, header := resp.StatusCode, resp.Header.Clone()
	header.Del(headerLevel)
	return &bodyRecorder{ReadCloser: resp.Body, onClose: func(body []byte, complete bool) {
		var stored *once.Response
		if complete && len(resp.Trailer) == 0 {
			stored = once.NewResponse(status, header, body)
		}
		f.idempotency.mu.Lock()
		defer f.idempotency.mu.Unlock()
		f.idempotency.core.Finish(once.Key(call.IdempotencyID()), number, stored)
	}}
}

// Read implements io.Reader.
func (r *bodyRecorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if len(r.recorded) <= once.MaxResponseBytes {
		r.recorded = append(r.recorded, p[:n]...)
	}
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close calls onClose with the recorded body, and whether it is complete, and
// closes the body.
func (r *bodyRecorder) Close() error {
	if r.onClose != nil {
		r.onClose(r.recorded, r.complete)
		r.onClose = nil
	}
	return r.ReadCloser.Close()
}
