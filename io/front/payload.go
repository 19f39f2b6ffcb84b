package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// maxBufferedBody is the largest request body that is buffered for retries, in
// bytes.
const maxBufferedBody = 64 << 10

// payload is the request to forward. A body of known length up to
// maxBufferedBody is buffered, so that it can be sent again; any other streams
// through once.
type payload struct {
	request  *http.Request
	buffered []byte
	stream   *callerBody
	last     *requestBody // of the last attempt
}

func newPayload(w http.ResponseWriter, r *http.Request, limit int64, stall time.Duration) (*payload, error) {
	p := &payload{request: r}
	if r.ContentLength == 0 {
		return p, nil
	}
	src := &callerBody{src: http.MaxBytesReader(nil, r.Body, limit), controller: http.NewResponseController(w), stall: stall}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		p.stream = src
		return p, nil
	}
	p.buffered = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(src, p.buffered); err != nil {
		return nil, bodyRefusal(err)
	}
	_ = src.controller.SetReadDeadline(time.Time{})
	return p, nil
}

// bodyRefusal returns the refusal for a failed read of the caller's body.
func bodyRefusal(err error) *model.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return model.Refuse(model.TooLarge{}, 0)
	}
	return model.Refuse(model.BadRequest{}, 0)
}

// readFailure returns the refusal of a request whose body could not be read from
// the caller, and false if no read failed.
func (p *payload) readFailure(run model.Run) (*model.Refusal, bool) {
	if p.stream == nil || p.stream.failure.Load() == nil {
		return nil, false
	}
	return p.stream.failure.Load().WithRun(run), true
}

// reclaim takes the body back from the last attempt, so that it can be sent again. It
// returns false if that attempt has begun to read a body that can be read only once.
func (p *payload) reclaim() bool { return p.stream == nil || p.last.withdraw() }

// attachTo sets the body of an outgoing request. The body of the request before must
// have been reclaimed.
func (p *payload) attachTo(r *http.Request) {
	r.Header.Del("Expect")
	if p.stream != nil {
		p.last = &requestBody{src: p.stream}
		r.ContentLength = p.request.ContentLength
	} else {
		p.last = &requestBody{src: bytes.NewReader(p.buffered)}
		r.ContentLength = int64(len(p.buffered))
	}
	r.Body = p.last
}
