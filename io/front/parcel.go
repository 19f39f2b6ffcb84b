package front

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// maxHeld is the largest request body that is held to be sent again, in bytes.
const maxHeld = 64 << 10

// parcel is a request as it is sent on: a small body is held, a large one
// streams through once.
type parcel struct {
	request *http.Request
	held    []byte
	stream  *body
}

func newParcel(w http.ResponseWriter, r *http.Request, limit int64, stall time.Duration) (*parcel, error) {
	p := &parcel{request: r}
	if r.ContentLength == 0 {
		return p, nil
	}
	from := &body{from: http.MaxBytesReader(nil, r.Body, limit), caller: http.NewResponseController(w), stall: stall}
	if r.ContentLength < 0 || r.ContentLength > maxHeld {
		p.stream = from
		return p, nil
	}
	p.held = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(from, p.held); err != nil {
		return nil, refuseBody(err)
	}
	_ = from.caller.SetReadDeadline(time.Time{})
	return p, nil
}

func refuseBody(err error) *model.Refusal {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return model.Refuse(model.TooLarge{}, 0)
	}
	return model.Refuse(model.BadRequest{}, 0)
}

// fault returns the refusal of a body that the caller did not send whole, if
// that is so.
func (p *parcel) fault(run model.Run) (*model.Refusal, bool) {
	if p.stream == nil || p.stream.failed.Load() == nil {
		return nil, false
	}
	return p.stream.failed.Load().WithRun(run), true
}

// again reports whether the body can be sent once more.
func (p *parcel) again() bool { return p.stream == nil || !p.stream.touched.Load() }

// fill gives a request the parcel's body.
func (p *parcel) fill(r *http.Request) {
	r.Header.Del("Expect")
	if p.stream != nil {
		r.Body, r.ContentLength = p.stream, p.request.ContentLength
		return
	}
	r.Body, r.ContentLength = &body{from: bytes.NewReader(p.held)}, int64(len(p.held))
}
