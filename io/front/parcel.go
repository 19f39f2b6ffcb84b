package front

import (
	"bytes"
	"io"
	"net/http"

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

func newParcel(r *http.Request, limit int64) (*parcel, error) {
	p := &parcel{request: r}
	if r.ContentLength < 0 || r.ContentLength > maxHeld {
		p.stream = &body{from: http.MaxBytesReader(nil, r.Body, limit)}
		return p, nil
	}
	held, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, refuseBody(err)
	}
	p.held = held
	return p, nil
}

func refuseBody(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return model.Refuse(model.TooLarge{}, 0)
	}
	return model.Refuse(model.BadRequest{}, 0)
}

// again reports whether the body can be sent once more.
func (p *parcel) again() bool { return p.stream == nil || !p.stream.touched.Load() }

// fill gives a request the parcel's body.
func (p *parcel) fill(r *http.Request) {
	if p.stream != nil {
		r.Body, r.ContentLength = p.stream, p.request.ContentLength
		r.Header.Set("Expect", "100-continue")
		return
	}
	r.Body, r.ContentLength = &body{from: bytes.NewReader(p.held)}, int64(len(p.held))
}
