package front

import (
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// aheadBytes is how much of a body is read ahead while its request waits, in bytes.
const aheadBytes = 16 << 10

// ahead is the part of a caller's body that was read while its request waited. Only a read
// shows that the caller has left: the server looks for that itself once the whole body has
// been read.
type ahead struct {
	returned *sync.Cond // signaled when a read ahead has returned; nil without any
	reading  bool       // a read ahead is under way
	consumed bool       // an attempt reads the body, and nothing more is read ahead
	bytes    []byte     // not yet consumed
	err      error      // of the last read ahead
}

// watchCaller ends a request whose caller closes its connection before the body is in. A
// caller that waits to be asked for the body sends nothing meanwhile that could be read.
func (f *Front) watchCaller(r *http.Request, p *payload, timer *requestTimer) {
	if p.stream == nil || r.Header.Get("Expect") != "" || !p.reserve(aheadBytes) {
		return
	}
	f.readers.Go(func() error {
		p.stream.readAhead(func() { timer.cancel(errCallerLeft) })
		return nil
	})
}

// readAhead reads up to aheadBytes until an attempt reads the body. It calls left when the
// caller has closed its connection.
func (b *callerBody) readAhead(left func()) {
	buffer := make([]byte, aheadBytes)
	n := 0
	for n < len(buffer) && b.beginAhead() {
		m, err := b.readSource(buffer[n:])
		b.endAhead(buffer[n:n+m], err)
		n += m
		if err != nil {
			if !errors.Is(err, io.EOF) {
				left()
			}
			return
		}
	}
}

// beginAhead returns false once an attempt reads the body.
func (b *callerBody) beginAhead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ahead.consumed {
		return false
	}
	if b.ahead.returned == nil {
		b.ahead.returned = sync.NewCond(&b.mu)
	}
	b.ahead.reading = true
	return true
}

func (b *callerBody) endAhead(read []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ahead.reading = false
	b.ahead.bytes = append(b.ahead.bytes, read...)
	b.ahead.err = err
	b.ahead.returned.Broadcast()
}

// takeAhead returns what was read ahead, and waits for a read under way. It returns false if
// there is nothing more of it.
func (b *callerBody) takeAhead(p []byte) (int, error, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ahead.consumed = true
	for b.ahead.reading && len(b.ahead.bytes) == 0 {
		b.ahead.returned.Wait()
	}
	if len(b.ahead.bytes) > 0 {
		n := copy(p, b.ahead.bytes)
		b.ahead.bytes = b.ahead.bytes[n:]
		return n, nil, true
	}
	return 0, b.ahead.err, b.ahead.err != nil
}
