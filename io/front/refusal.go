package front

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/io/form"
)

// Headers between daemons, in addition to those of package form.
const (
	// headerUnspent carries the retries that an attempt did not spend back to
	// the entry daemon.
	headerUnspent = "Unspent"
	// headerLeaving marks the responses of a daemon that drains, for other
	// daemons.
	headerLeaving = "Leaving"
	// headerLevel carries the load report of a target (route.Report), from the
	// daemon beside it to the entry daemon.
	headerLevel = "Level"
	// headerStarved marks a failure (5xx) after a call of the request was refused
	// under overload, for the daemon where the request entered.
	headerStarved = "Starved"
	// headerCallFailed marks a failure (5xx) after a call of the request was refused
	// or failed: it says nothing about the version of the target.
	headerCallFailed = "Call-Failed"
	// headerTook carries the time that the target took, in microseconds, while its
	// service has an order of a rollout. The time at the entry daemon has the wait for
	// admission in it, which hides a slow version under load.
	headerTook = "Took"
	// headerCallerAuthorization carries the caller's Authorization header to the daemon
	// beside the target, as that header has the secret of the daemons on the way there.
	headerCallerAuthorization = "Caller-Authorization"
	// headerVersion carries the version of the target that a request is meant for,
	// while its service has an order of a rollout.
	headerVersion = "Target-Version"
)

// readRefusal reads the refusal of another daemon, if the response is one. A
// reason that this version does not know counts as a broken connection, and a
// body that cannot be read as a request that may have run.
func readRefusal(resp *http.Response) (*model.Refusal, bool) {
	name := resp.Header.Get(form.HeaderRefusal)
	if name == "" {
		return nil, false
	}
	reason, ok := model.ParseReason(name)
	if !ok {
		return model.Fail(model.Broken{}), true
	}
	var body struct {
		Run  string `json:"run"`
		Wait int64  `json:"wait"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxRefusalBytes)).Decode(&body); err != nil {
		return model.Fail(reason), true
	}
	if _, notRun := model.ParseRun(body.Run).(model.NotRun); notRun {
		return model.Refuse(reason, time.Duration(body.Wait)*time.Millisecond), true
	}
	return model.Fail(reason), true
}

// maxRefusalBytes is the largest refusal body that is read, in bytes.
const maxRefusalBytes = 4 << 10

// refusalOf returns the refusal in an error. Any other error counts as a broken
// connection after which the request may have run.
func refusalOf(err error) *model.Refusal {
	var r *model.Refusal
	if errors.As(err, &r) {
		return r
	}
	return model.Fail(model.Broken{})
}
