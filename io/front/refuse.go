// Package front carries requests over HTTP: from callers, to the daemon beside
// the chosen target, and to the target.
package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// Headers of the project's own, each one word.
const (
	// headerCall carries a call between daemons, and its id to the target and
	// back from it.
	headerCall = "Anvil"
	// headerDeadline carries the milliseconds that a caller gives a request.
	headerDeadline = "Deadline"
	// headerRefusal marks an answer as a daemon's refusal, with its reason.
	headerRefusal = "Refusal"
	// headerUnspent carries the retries that an attempt did not spend, back to
	// the daemon that made it.
	headerUnspent = "Unspent"
	// headerRequest carries a request's id back to its caller.
	headerRequest = "Request"
	// headerLeaving marks the answers of a daemon in its planned stop, for the
	// other daemons.
	headerLeaving = "Leaving"
	// headerLevel carries between daemons what the callee's tells of its
	// target.
	headerLevel = "Level"
	// headerKey carries a key, as an alternative to Authorization.
	headerKey = "Key"
)

// writeRefusal answers a request with a refusal in JSON. more adds headers; it
// may be nil.
func writeRefusal(w http.ResponseWriter, r *model.Refusal, more func(http.Header)) {
	body, _ := json.Marshal(&struct {
		Reason string `json:"reason"`
		Run    string `json:"run"`
		Wait   int64  `json:"wait"`
	}{model.ReasonName(r.Reason()), model.RunName(r.Run()), r.Wait().Milliseconds()})
	h := w.Header()
	level := h.Get(headerLevel)
	clear(h)
	if level != "" {
		h.Set(headerLevel, level)
	}
	h.Set("Content-Type", "application/json")
	h.Set(headerRefusal, model.ReasonName(r.Reason()))
	if r.Wait() > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.Wait().Seconds()))))
	}
	if more != nil {
		more(h)
	}
	w.WriteHeader(statusOf(r.Reason()))
	_, _ = w.Write(body)
}

// readRefusal reads the refusal of another daemon, if the answer is one.
func readRefusal(w *http.Response) (*model.Refusal, bool) {
	name := w.Header.Get(headerRefusal)
	if name == "" {
		return nil, false
	}
	reason, ok := model.ReasonOf(name)
	if !ok {
		return model.Fail(model.Broken{}), true
	}
	var body struct {
		Run  string `json:"run"`
		Wait int64  `json:"wait"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, w.Body, maxRefusal)).Decode(&body); err != nil {
		return model.Fail(reason), true
	}
	if _, not := model.RunOf(body.Run).(model.NotRun); not {
		return model.Refuse(reason, time.Duration(body.Wait)*time.Millisecond), true
	}
	return model.Fail(reason), true
}

// maxRefusal is the largest refusal that is read, in bytes.
const maxRefusal = 4 << 10

func statusOf(r model.Reason) int {
	switch r.(type) {
	case model.NoKey, model.BadKey:
		return http.StatusUnauthorized
	case model.NoRoute:
		return http.StatusNotFound
	case model.BadRequest:
		return http.StatusBadRequest
	case model.TooLarge:
		return http.StatusRequestEntityTooLarge
	case model.OverRate:
		return http.StatusTooManyRequests
	case model.Late:
		return http.StatusGatewayTimeout
	case model.Broken, model.Canceled:
		return http.StatusBadGateway
	case model.Repeat:
		return http.StatusConflict
	case model.Poison:
		return http.StatusForbidden
	case model.NoShare, model.Shed, model.QueueFull, model.NoTarget, model.Leaving, model.DomainOut, model.Spent, model.Isolated:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}

// refusalOf returns the refusal in an error, or that the request may have run.
func refusalOf(err error) *model.Refusal {
	var r *model.Refusal
	if errors.As(err, &r) {
		return r
	}
	return model.Fail(model.Broken{})
}
