// Package form reads and writes the HTTP headers of callers and targets, as a Form,
// so that package front can serve other forms with the same code. Plain is the form of
// this package; package platform has another. Headers between daemons that share a
// name with those of Plain are named here too. The package decides nothing.
package form

import (
	"cmp"
	"net/http"
	"net/url"
	"time"

	"anvilstand/core/load"
	"anvilstand/core/model"
)

// Form reads and writes the metadata that callers and targets send with requests
// and responses.
type Form interface {
	// ReadRequest returns the metadata of a caller's request. The error is a
	// *model.Refusal.
	ReadRequest(r *http.Request) (RequestInfo, error)
	// Forward removes the caller's API keys from the headers and the URL of a
	// request that is forwarded, and may add where the request entered.
	Forward(h http.Header, u *url.URL, keys []string, from Origin)
	// AddTargetHeaders adds to a request the headers for the target.
	AddTargetHeaders(h http.Header, call model.Call, e Execution)
	// ReadResponse returns the metadata of a target's response to a call.
	ReadResponse(call model.Call, resp *http.Response) ResponseInfo
	// Refuse answers a caller's request with a refusal. last means that the
	// connection is to be closed after it.
	Refuse(w http.ResponseWriter, id model.Request, r *model.Refusal, last bool)
	// AddResponseHeaders adds to a response the headers for the caller.
	AddResponseHeaders(h http.Header, id model.Request)
}

// RequestInfo is the metadata of a caller's request.
type RequestInfo struct {
	id             model.Request
	host           string
	keys           []string
	timeLeft       time.Duration
	parentToken    string
	parentID       model.Request
	idempotencyKey string
	givenID        model.Request
}

// NewRequestInfo returns the metadata of a request with an id, which is empty when
// the caller sent none.
func NewRequestInfo(id model.Request) RequestInfo { return RequestInfo{id: id} }

// ID returns the id that the caller gave the request, empty when it gave none.
func (i RequestInfo) ID() model.Request { return i.id }

// WithGivenID returns the metadata with the id as the caller wrote it, if that is not the one
// by which the daemon knows the request.
func (i RequestInfo) WithGivenID(id model.Request) RequestInfo {
	i.givenID = id
	return i
}

// GivenID returns the id that an answer to the caller names: that which the caller gave, or
// else the one by which the daemon knows the request.
func (i RequestInfo) GivenID(known model.Request) model.Request { return cmp.Or(i.givenID, known) }

// Host returns the host whose routes apply, empty when the path begins with the
// service.
func (i RequestInfo) Host() string { return i.host }

// Keys returns the API keys that came with the request. The first one identifies the
// organisation; the others are only removed before forwarding.
func (i RequestInfo) Keys() []string { return i.keys }

// TimeLeft returns the time until the caller's deadline, zero when it sent none.
func (i RequestInfo) TimeLeft() time.Duration { return i.timeLeft }

// ParentToken returns the token of the running request on whose behalf a target makes
// this one, empty when there is none.
func (i RequestInfo) ParentToken() string { return i.parentToken }

// ParentID returns the id of the request on whose behalf a target seems to make this
// one, empty when the request's own id names none. Callers choose ids, so it counts
// only if the target runs a request with that id.
func (i RequestInfo) ParentID() model.Request { return i.parentID }

// IdempotencyKey returns the caller's idempotency key, empty when it sent none.
func (i RequestInfo) IdempotencyKey() string { return i.idempotencyKey }

// WithHost returns the metadata with the host whose routes apply.
func (i RequestInfo) WithHost(host string) RequestInfo {
	i.host = host
	return i
}

// WithKeys returns the metadata with the API keys that came with the request.
func (i RequestInfo) WithKeys(keys []string) RequestInfo {
	i.keys = keys
	return i
}

// WithTimeLeft returns the metadata with the time until the caller's deadline.
func (i RequestInfo) WithTimeLeft(d time.Duration) RequestInfo {
	i.timeLeft = d
	return i
}

// WithParentToken returns the metadata with the token of the running request on whose
// behalf this one is made.
func (i RequestInfo) WithParentToken(token string) RequestInfo {
	i.parentToken = token
	return i
}

// WithParentID returns the metadata with the id of the request on whose behalf this
// one seems to be made.
func (i RequestInfo) WithParentID(id model.Request) RequestInfo {
	i.parentID = id
	return i
}

// WithIdempotencyKey returns the metadata with an idempotency key.
func (i RequestInfo) WithIdempotencyKey(key string) RequestInfo {
	i.idempotencyKey = key
	return i
}

// Origin is where a request entered the fleet (the service of that daemon's target),
// and its organisation.
type Origin struct {
	service model.Service
	org     model.Org
}

// NewOrigin returns the origin of a request that entered at a daemon of a service.
// The organisation is empty on a route that needs no key.
func NewOrigin(s model.Service, org model.Org) Origin { return Origin{service: s, org: org} }

// Service returns the service at whose daemon the request entered.
func (o Origin) Service() model.Service { return o.service }

// Org returns the organisation whose key came with the request, empty on a route
// that needs no key.
func (o Origin) Org() model.Org { return o.org }

// Execution identifies one execution of a request by a target.
type Execution struct {
	token  string
	target string
}

// NewExecution returns the execution by the target with an id, empty when it is not
// known. The target sends the token with calls on behalf of the request.
func NewExecution(token, target string) Execution { return Execution{token: token, target: target} }

// Token returns the token that the target sends with calls on behalf of the request.
func (e Execution) Token() string { return e.token }

// Target returns the id of the target that is to run the request, empty when it is
// not known.
func (e Execution) Target() string { return e.target }

// ResponseInfo is the metadata of a target's response. The zero value is that of a
// response without any.
type ResponseInfo struct {
	declined     bool
	otherTarget  bool
	otherRequest bool
	draining     bool
	unnamed      bool
	load         load.Report
	loadErr      error
}

// Declined reports whether the target states that it did not run the request.
func (i ResponseInfo) Declined() bool { return i.declined }

// OtherTarget reports whether the response comes from another target than the expected
// one.
func (i ResponseInfo) OtherTarget() bool { return i.otherTarget }

// OtherRequest reports whether the response belongs to another request.
func (i ResponseInfo) OtherRequest() bool { return i.otherRequest }

// Draining reports whether the target drains: it asks for no new work.
func (i ResponseInfo) Draining() bool { return i.draining }

// Unnamed reports whether the response lacks the id of the request that it answers,
// although targets of this form repeat it.
func (i ResponseInfo) Unnamed() bool { return i.unnamed }

// Load returns the load that the target reports with the response. It returns false if
// there is no report or LoadError has one.
func (i ResponseInfo) Load() (load.Report, bool) { return i.load, i.load != (load.Report{}) }

// LoadError returns why the target's load report was discarded, nil if it was not.
func (i ResponseInfo) LoadError() error { return i.loadErr }

// WithLoad returns the metadata with the load that the target reports, or with the
// error that its report has.
func (i ResponseInfo) WithLoad(r load.Report, err error) ResponseInfo {
	i.load, i.loadErr = r, err
	return i
}

// AsUnnamed returns the metadata with Unnamed set.
func (i ResponseInfo) AsUnnamed() ResponseInfo {
	i.unnamed = true
	return i
}

// AsDeclined returns the metadata with Declined set.
func (i ResponseInfo) AsDeclined() ResponseInfo {
	i.declined = true
	return i
}

// AsOtherTarget returns the metadata with OtherTarget set, and Declined, because the
// expected target did not run the request.
func (i ResponseInfo) AsOtherTarget() ResponseInfo {
	i.declined, i.otherTarget = true, true
	return i
}

// AsOtherRequest returns the metadata with OtherRequest set.
func (i ResponseInfo) AsOtherRequest() ResponseInfo {
	i.otherRequest = true
	return i
}

// AsDraining returns the metadata with Draining set.
func (i ResponseInfo) AsDraining() ResponseInfo {
	i.draining = true
	return i
}
