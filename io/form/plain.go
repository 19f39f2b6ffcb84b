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

// Headers of the plain form.
const (
	// HeaderCall carries, by its use: the encoded model.Call from daemon to
	// daemon, the token of a request to the target, and that token back in the
	// calls that the target makes on behalf of the request.
	HeaderCall = "Anvil"
	// HeaderRefusal marks a response as a daemon's refusal and names the reason.
	HeaderRefusal = "Refusal"
	// HeaderRequest returns the id of a request to its caller.
	HeaderRequest = "Request"
	// HeaderDrain in a target's response means that the target drains and asks
	// for no new work. Its value does not matter unless it is empty.
	HeaderDrain = "Drain"
	// HeaderLoad is the load that a target reports in a response, see DecodeLoad.
	HeaderLoad = "Load"
	// headerDeadline carries the time until a request's deadline, in
	// milliseconds, from the caller and to the target.
	headerDeadline = "Deadline"
	// headerKey carries an API key, as an alternative to Authorization.
	headerKey = "Key"
	// headerIdempotencyKey carries a caller's idempotency key.
	headerIdempotencyKey = "Idempotency-Key"
)

// Plain is the Form of the headers in this package. The zero value is ready to use.
type Plain struct{}

// ReadRequest returns the metadata of a caller's request. It refuses with
// model.BadRequest when the deadline is no whole number of milliseconds below 1<<31.
func (Plain) ReadRequest(r *http.Request) (RequestInfo, error) {
	info := RequestInfo{keys: keysOf(r), parentToken: r.Header.Get(HeaderCall), idempotencyKey: r.Header.Get(headerIdempotencyKey)}
	value := r.Header.Get(headerDeadline)
	if value == "" {
		return info, nil
	}
	n, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return info, model.Refuse(model.BadRequest{}, 0)
	}
	// A deadline of zero must not read as no deadline, which is what zero means in
	// RequestInfo.
	return info.WithTimeLeft(max(1, time.Duration(n)*time.Millisecond)), nil
}

// Forward removes the caller's API keys. This form does not send the origin.
func (Plain) Forward(h http.Header, u *url.URL, keys []string, _ Origin) { stripKeys(h, u, keys) }

// AddTargetHeaders adds the token for the target's calls and the time until the
// deadline.
func (Plain) AddTargetHeaders(h http.Header, call model.Call, e Execution) {
	h.Set(HeaderCall, e.Token())
	h.Set(headerDeadline, strconv.FormatInt(max(0, call.TimeLeft().Milliseconds()), 10))
}

// ReadResponse returns whether the target drains, and its load report. Targets of this
// form send no other metadata.
func (Plain) ReadResponse(_ model.Call, resp *http.Response) ResponseInfo {
	info := ResponseInfo{draining: resp.Header.Get(HeaderDrain) != ""}
	if text := resp.Header.Get(HeaderLoad); text != "" {
		info = info.WithLoad(DecodeLoad(text))
	}
	return info
}

// AddResponseHeaders adds the id of the request.
func (Plain) AddResponseHeaders(h http.Header, id model.Request) { h.Set(HeaderRequest, string(id)) }

// Refuse writes the refusal as WriteRefusal does, with the id of the request unless it
// is empty.
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

// WriteRefusal answers a request with a refusal: the status, and in JSON the reason,
// whether the request ran, and the wait before a retry in milliseconds. It clears
// all headers set before. more adds headers; it may be nil.
func WriteRefusal(w http.ResponseWriter, r *model.Refusal, more func(http.Header)) {
	body, _ := json.Marshal(&struct {
		Reason string `json:"reason"`
		Run    string `json:"run"`
		Wait   int64  `json:"wait"`
	}{model.ReasonName(r.Reason()), model.RunName(r.Run()), r.Wait().Milliseconds()})
	h := w.Header()
	clear(h)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRefusal, model.ReasonName(r.Reason()))
	if r.Wait() > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.Wait().Seconds()))))
	}
	if more != nil {
		more(h)
	}
	w.WriteHeader(HTTPStatus(r.Reason()))
	_, _ = w.Write(body)
}

// HTTPStatus returns the HTTP status of a refusal with a reason.
func HTTPStatus(r model.Reason) int {
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
	case model.NoToken, model.Shed, model.QueueFull, model.NoTarget, model.Leaving, model.DomainOut, model.Spent,
		model.Isolated, model.BadOrg, model.Declined:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}
