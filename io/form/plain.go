package form

import (
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"anvilstand/core/model"
)

// Headers of the project's own, each one word.
const (
	// HeaderCall carries a call between daemons, and its token to the target
	// and back from it.
	HeaderCall = "Anvil"
	// HeaderRefusal marks an answer as a daemon's refusal, with its reason.
	HeaderRefusal = "Refusal"
	// HeaderRequest carries a request's id back to its caller.
	HeaderRequest = "Request"
	// HeaderDrain is how a target says, on any answer, that it wants no new
	// work.
	HeaderDrain = "Drain"
	// headerDeadline carries the milliseconds that a caller gives a request.
	headerDeadline = "Deadline"
	// headerKey carries a key, as an alternative to Authorization.
	headerKey = "Key"
	// headerOnce carries a caller's idempotency key.
	headerOnce = "Idempotency-Key"
)

// Plain is the project's own form. Its zero value is ready for use.
type Plain struct{}

// ReadRequest returns what a caller's request says of itself.
func (Plain) ReadRequest(r *http.Request) (RequestInfo, error) {
	a := RequestInfo{keys: keysOf(r), token: r.Header.Get(HeaderCall), once: r.Header.Get(headerOnce)}
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return a, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return a, model.Refuse(model.BadRequest{}, 0)
	}
	// No time at all is a time that the caller gives.
	return a.WithLeft(max(1, time.Duration(n)*time.Millisecond)), nil
}

// Forward takes the keys out of a request that goes on.
func (Plain) Forward(h http.Header, u *url.URL, keys []string, _ Origin) { stripKeys(h, u, keys) }

// AddTargetHeaders tells the target the time left and the token for calls.
func (Plain) AddTargetHeaders(h http.Header, call model.Call, v Execution) {
	h.Set(HeaderCall, v.Token())
	h.Set(headerDeadline, strconv.FormatInt(max(0, call.TimeLeft().Milliseconds()), 10))
}

// ReadResponse returns whether the target wants no new work.
func (Plain) ReadResponse(_ model.Call, from *http.Response) ResponseInfo {
	return ResponseInfo{leaving: from.Header.Get(HeaderDrain) != ""}
}

// AddResponseHeaders tells the caller the request's id.
func (Plain) AddResponseHeaders(h http.Header, id model.Request) { h.Set(HeaderRequest, string(id)) }

// Refuse answers with the reason in JSON, whether the request ran, and when to
// come back.
func (Plain) Refuse(w http.ResponseWriter, id model.Request, r *model.Refusal, last bool) {
	WriteRefusal(w, r, func(h http.Header) {
		if id != "" {
			h.Set(HeaderRequest, string(id))
		}
		if last {
			h.Set("Connection", "close")
		}
	})
}

// WriteRefusal answers a request with a refusal in JSON. more adds headers; it
// may be nil.
func WriteRefusal(w http.ResponseWriter, r *model.Refusal, more func(http.Header)) {
	body, _ := json.Marshal(&struct {
		Reason string `json:"reason"`
		Run    string `json:"run"`
		Wait   int64  `json:"wait"`
	}{model.ReasonName(r.Reason()), model.RunName(r.Run()), r.Wait().Milliseconds()})
	h := w.Header()
	clear(h)
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRefusal, model.ReasonName(r.Reason()))
	if r.Wait() > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.Wait().Seconds()))))
	}
	if more != nil {
		more(h)
	}
	w.WriteHeader(StatusOf(r.Reason()))
	_, _ = w.Write(body)
}

// StatusOf returns the HTTP status that belongs to a reason.
func StatusOf(r model.Reason) int {
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
	case model.NoShare, model.Shed, model.QueueFull, model.NoTarget, model.Leaving, model.DomainOut, model.Spent,
		model.Isolated, model.Declined:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}
