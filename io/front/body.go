package front

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// callerBody is the body of a caller's request, which can be read once. The caller has
// to send something within the stall time. A read ends early when the request does, since
// the attempt that reads it waits for it.
type callerBody struct {
	src        io.Reader
	controller *http.ResponseController
	ask        *continueSender // nil for a body that is buffered
	stall      time.Duration
	deadline   time.Time    // of the whole body, zero for none
	ended      atomic.Bool  // its end has been read
	taken      atomic.Int64 // bytes that were read

	mu          sync.Mutex
	interrupted bool
	failure     *model.Refusal // of a read that was not interrupted
	readUntil   time.Time      // when the last read is over at the latest; zero if it has succeeded
	ahead       ahead
}

// errInterrupted is the error of reading the body of a request that has ended.
var errInterrupted = errors.New("request has ended")

// interrupt ends the read under way, and fails all others.
func (b *callerBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interrupted = true
	_ = b.controller.SetReadDeadline(time.Unix(1, 0))
}

// startRead sets the deadline of a read. It returns false if reads are interrupted.
func (b *callerBody) startRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interrupted {
		return false
	}
	next := time.Now().Add(b.stall)
	if !b.deadline.IsZero() && b.deadline.Before(next) {
		next = b.deadline
	}
	_ = b.controller.SetReadDeadline(next)
	b.readUntil = next
	return true
}

// endRead records how a read ended. Any error is that of the last one.
func (b *callerBody) endRead(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err == nil:
		b.readUntil = time.Time{}
	case errors.Is(err, io.EOF):
		b.readUntil = time.Time{}
		b.ended.Store(true)
		_ = b.controller.SetReadDeadline(time.Time{})
	case !b.interrupted:
		b.failure = bodyRefusal(err)
	case time.Now().Before(b.readUntil):
		b.readUntil = time.Time{} // the request has ended, and the body was not late
	}
}

// readFailure returns the refusal of a body that could not be read, or nil. The server ends
// the request of a body that is late before the read returns, so that the time counts then.
func (b *callerBody) readFailure() *model.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure == nil && !b.readUntil.IsZero() && !time.Now().Before(b.readUntil) {
		return model.Refuse(model.Late{}, 0)
	}
	return b.failure
}

// Read implements io.Reader. It returns first what was read ahead.
func (b *callerBody) Read(p []byte) (int, error) {
	if n, err, ok := b.takeAhead(p); ok {
		return n, err
	}
	return b.readSource(p)
}

func (b *callerBody) readSource(p []byte) (int, error) {
	if !b.startRead() {
		return 0, errInterrupted
	}
	n, err := b.src.Read(p)
	b.taken.Add(int64(n))
	b.endRead(err)
	return n, err
}

// requestBody is the body of every outgoing request, also of one without
// content. The transport takes it for a body that cannot be sent again, so it
// never resends a request on its own.
type requestBody struct {
	src io.Reader
	ask *continueSender // nil if the body is buffered

	mu          sync.Mutex
	readStarted bool
	withdrawn   bool
}

// errWithdrawn is the error of reading a withdrawn body. The transport then closes
// the connection, so that the peer cannot take the request for complete.
var errWithdrawn = errors.New("request body withdrawn")

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if !b.startRead() {
		return 0, errWithdrawn
	}
	return b.src.Read(p)
}

func (b *requestBody) startRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readStarted = !b.withdrawn
	return b.readStarted
}

// withdraw makes the body unreadable and returns true, unless a read of it has
// begun. The transport may start to read the body of a request after it has returned
// the response.
func (b *requestBody) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn = !b.readStarted
	return b.withdrawn
}

// Close does nothing: the server closes the caller's body itself.
func (b *requestBody) Close() error { return nil }
