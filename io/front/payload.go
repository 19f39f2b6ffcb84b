package front

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// maxBufferedBody is the largest request body that is buffered for retries, in
// bytes.
const maxBufferedBody = 64 << 10

// payload is the request to forward. A body of known length up to
// maxBufferedBody is buffered while there is memory, so that it can be sent again; any
// other streams through once.
type payload struct {
	request  *http.Request
	buffered []byte
	stream   *callerBody
	last     *requestBody // of the last attempt
	bodies   *memoryBudget
	reserved int64 // bytes taken from bodies
}

// newPayload reads the body of a request if it is to be buffered: until the deadline and
// within the budget bodies. release must be called.
func newPayload(w http.ResponseWriter, r *http.Request, limit int64, stall time.Duration, deadline time.Time, bodies *memoryBudget) (*payload, error) {
	p := &payload{request: r, bodies: bodies}
	if r.ContentLength == 0 {
		return p, nil
	}
	src := &callerBody{src: http.MaxBytesReader(nil, r.Body, limit), controller: http.NewResponseController(w), stall: stall}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody || !p.reserve(r.ContentLength) {
		src.ask = newContinueSender(w, r)
		p.stream = src
		return p, nil
	}
	src.deadline = deadline
	// The buffer grows as bytes arrive: a caller may announce what it never sends.
	var buffer bytes.Buffer
	if _, err := io.CopyN(&buffer, src, r.ContentLength); err != nil {
		p.release()
		return nil, bodyRefusal(err)
	}
	p.buffered = buffer.Bytes()
	_ = src.controller.SetReadDeadline(time.Time{})
	return p, nil
}

// interruptOn ends the reads of a body that streams once ctx has ended, unless the function
// that it returns is called before.
func (p *payload) interruptOn(ctx context.Context) (stop func() bool) {
	if p.stream == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, p.stream.interrupt)
}

// isIn reports whether the whole body has been read.
func (p *payload) isIn() bool {
	if p.stream == nil || p.stream.ended.Load() {
		return true
	}
	// The end of a body of known length may not have been read yet.
	return p.request.ContentLength > 0 && p.stream.taken.Load() == p.request.ContentLength
}

// reserve takes memory for the body. It returns false if there is none.
func (p *payload) reserve(n int64) bool {
	taken, _ := p.bodies.take(n)
	if taken {
		p.reserved = n
	}
	return taken
}

// release gives the memory of the body back.
func (p *payload) release() {
	if p.reserved > 0 {
		p.bodies.giveBack(p.reserved)
		p.reserved = 0
	}
}

// bodyRefusal returns the refusal for a failed read of the caller's body: only one that is
// malformed is the caller's fault.
func bodyRefusal(err error) *model.Refusal {
	var tooLarge *http.MaxBytesError
	var lost net.Error
	switch {
	case errors.As(err, &tooLarge):
		return model.Refuse(model.TooLarge{}, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return model.Refuse(model.Late{}, 0)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &lost):
		return model.Refuse(model.Canceled{}, 0)
	}
	return model.Refuse(model.BadRequest{}, 0)
}

// readFailure returns the refusal of a request whose body could not be read from
// the caller, and false if no read failed.
func (p *payload) readFailure(run model.Run) (*model.Refusal, bool) {
	if p.stream == nil {
		return nil, false
	}
	failure := p.stream.readFailure()
	if failure == nil {
		return nil, false
	}
	return failure.WithRun(run), true
}

// reclaim takes the body back from the last attempt, so that it can be sent again. It
// returns false if that attempt has begun to read a body that can be read only once.
func (p *payload) reclaim() bool { return p.stream == nil || p.last.withdraw() }

// attachTo sets the body of an outgoing request. The body of the request before must
// have been reclaimed.
func (p *payload) attachTo(r *http.Request) {
	r.Header.Del("Expect")
	if p.stream != nil {
		p.last = &requestBody{src: p.stream, ask: p.stream.ask}
		r.ContentLength = p.request.ContentLength
	} else {
		p.last = &requestBody{src: bytes.NewReader(p.buffered)}
		r.ContentLength = int64(len(p.buffered))
	}
	r.Body = p.last
}
