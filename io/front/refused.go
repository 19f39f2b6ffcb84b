package front

import (
	"io"
	"net/http"
	"time"

	"anvilstand/core/model"
)

// Bounds of what is read of the body of a refused request.
const (
	// refusedBodyTime is how long after its deadline the rest of a short body is read, which
	// the server does before it writes the refusal. What comes later ends the connection.
	refusedBodyTime = 100 * time.Millisecond
	// drainTime is how long a long body is read after the refusal.
	drainTime = 3 * time.Second
	// drainBytes is how much of it is read, in bytes.
	drainBytes = 16 << 20
)

// refuseRequest answers a request with a refusal, and takes what its caller still sends: a
// connection that is closed with unread bytes is reset, and a caller that sends its whole
// body before it reads loses the answer.
func (f *Front) refuseRequest(w http.ResponseWriter, r *http.Request, j *job, refusal *model.Refusal) {
	controller := http.NewResponseController(w)
	switch {
	case r.ContentLength == 0, j.payload != nil && j.payload.isIn():
		f.refuse(w, j, refusal, f.draining.Load())
	case r.ContentLength > 0 && r.ContentLength <= maxBufferedBody:
		if !j.deadline.IsZero() {
			_ = controller.SetReadDeadline(j.deadline.Add(refusedBodyTime))
		}
		f.refuse(w, j, refusal, f.draining.Load())
	default:
		_ = controller.EnableFullDuplex() // else the server reads the body before it answers
		// The rest of a body that was not read to its end must not be taken for a request.
		f.refuse(w, j, refusal, true)
		_ = controller.Flush()
		if !f.draining.Load() { // a planned stop would wait for it
			drainBody(controller, r)
		}
	}
}

// drainBody reads the rest of the body of a request that was answered, within bounds. A
// caller that waits to be asked for its body sends none.
func drainBody(controller *http.ResponseController, r *http.Request) {
	if r.Header.Get("Expect") != "" {
		return
	}
	_ = controller.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes)
}
