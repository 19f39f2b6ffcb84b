package front

import (
	"net/http"
	"sync"
)

// continueSender asks a caller for the body that it holds back until status 100. The server
// of net/http asks only when the body is read, and no longer once the response has begun: a
// target that answers before it reads would wait for a body that nobody sends.
type continueSender struct {
	mu   sync.Mutex
	w    http.ResponseWriter // nil once the caller was asked, or waits for nothing
	open bool                // an attempt is under way, and its caller has no response yet
}

// newContinueSender returns the sender for a request.
func newContinueSender(w http.ResponseWriter, r *http.Request) *continueSender {
	if r.Header.Get("Expect") == "" {
		return &continueSender{}
	}
	return &continueSender{w: w}
}

// begin allows send until end is called.
func (s *continueSender) begin() { s.setOpen(true) }

// end must be called before the response begins.
func (s *continueSender) end() { s.setOpen(false) }

func (s *continueSender) setOpen(open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = open
}

// send asks the caller once.
func (s *continueSender) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.w == nil || !s.open {
		return
	}
	s.w.WriteHeader(http.StatusContinue)
	s.w = nil
}

// continueSenderOf returns the sender of an outgoing request.
func continueSenderOf(r *http.Request) *continueSender {
	if b, ok := r.Body.(*requestBody); ok && b.ask != nil {
		return b.ask
	}
	return &continueSender{}
}
