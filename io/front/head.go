package front

import (
	"math"
	"net/http"

	"anvilstand/core/model"
	"anvilstand/io/guard"
)

// RefuseHead answers a request whose head breaks the limits of its listener, in place of
// the listener's handler. Nothing of it has run.
func (f *Front) RefuseHead(w http.ResponseWriter, r guard.Reason) {
	refusal := model.Refuse(model.TooLarge{}, 0)
	if _, empty := r.(guard.TooManyEmptyLines); empty {
		refusal = model.Refuse(model.BadRequest{}, 0)
	} else {
		w = headTooLargeWriter{ResponseWriter: w}
	}
	f.meter.CountRefused("", refusal.Reason())
	f.form.Refuse(w, "", refusal, true)
}

// headTooLargeWriter writes the status for a head that is too large, in place of that for
// a body, which has the same reason.
type headTooLargeWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w headTooLargeWriter) WriteHeader(int) {
	w.ResponseWriter.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
}

// noBodyLimit is the limit of bodies that another daemon has accepted, in bytes. Its limit
// may be another one while a change comes into force.
const noBodyLimit = math.MaxInt64

// maxBody returns the size of the largest request body, in bytes: as configured, or else
// as the settings say.
func (f *Front) maxBody() int64 {
	if limit := f.loop.View().Config().Limits().BodyBytes(); limit > 0 {
		return limit
	}
	return f.prefs.MaxBody()
}
