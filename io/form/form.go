// Package form is how callers and targets spell requests and answers. What
// decides on a request and carries it stands in package front and knows no
// header of theirs.
package form

import (
	"net/http"
	"net/url"
	"time"

	"anvilstand/core/model"
)

// Form reads and writes what callers and targets say beside a request itself.
type Form interface {
	// ReadRequest returns what a caller's request says of itself. The error is a
	// *model.Refusal.
	ReadRequest(r *http.Request) (RequestInfo, error)
	// Forward takes the keys out of a request that goes on, and says where it
	// comes from.
	Forward(h http.Header, u *url.URL, keys []string, by Origin)
	// AddTargetHeaders completes a request to the target.
	AddTargetHeaders(h http.Header, call model.Call, v Execution)
	// ReadResponse returns what a target's answer to a call says beside the answer.
	ReadResponse(call model.Call, from *http.Response) ResponseInfo
	// Refuse answers a caller's request with a refusal. Last means that the
	// connection is not used again.
	Refuse(w http.ResponseWriter, id model.Request, r *model.Refusal, last bool)
	// AddResponseHeaders adds to an answer what its caller is told beside it.
	AddResponseHeaders(h http.Header, id model.Request)
}

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	id    model.Request
	host  string
	keys  []string
	left  time.Duration
	token string
	once  string
}

// NewRequestInfo returns the ask of a request with an id, which is empty when the
// caller gave none.
func NewRequestInfo(id model.Request) RequestInfo { return RequestInfo{id: id} }

// ID returns the id that the caller gave the request, or nothing.
func (a RequestInfo) ID() model.Request { return a.id }

// Host returns the host whose routes count, empty where the path begins with
// the service.
func (a RequestInfo) Host() string { return a.host }

// Keys returns the keys that came with the request, the one that counts first.
func (a RequestInfo) Keys() []string { return a.keys }

// Left returns the time that the caller gives the request, zero when it gives
// none.
func (a RequestInfo) Left() time.Duration { return a.left }

// Token returns what names the running request for which a target makes this
// one, or nothing.
func (a RequestInfo) Token() string { return a.token }

// Once returns the caller's idempotency key, or nothing.
func (a RequestInfo) Once() string { return a.once }

// WithHost returns the ask by the routes of a host.
func (a RequestInfo) WithHost(host string) RequestInfo {
	a.host = host
	return a
}

// WithKeys returns the ask with the keys that came with the request.
func (a RequestInfo) WithKeys(keys []string) RequestInfo {
	a.keys = keys
	return a
}

// WithLeft returns the ask with the time that the caller gives.
func (a RequestInfo) WithLeft(d time.Duration) RequestInfo {
	a.left = d
	return a
}

// WithToken returns the ask on behalf of a running request.
func (a RequestInfo) WithToken(token string) RequestInfo {
	a.token = token
	return a
}

// WithOnce returns the ask with an idempotency key.
func (a RequestInfo) WithOnce(key string) RequestInfo {
	a.once = key
	return a
}

// Origin is where a request entered, and for whom.
type Origin struct {
	service model.Service
	org     model.Org
}

// NewOrigin returns the origin of a request that entered beside a service's
// target, for an organisation, which is empty on an open route.
func NewOrigin(s model.Service, org model.Org) Origin { return Origin{service: s, org: org} }

// Service returns the service beside which the request entered.
func (o Origin) Service() model.Service { return o.service }

// Org returns the organisation whose key came with the request.
func (o Origin) Org() model.Org { return o.org }

// Execution is one run of a request at a target.
type Execution struct {
	token  string
	target string
}

// NewExecution returns a visit: the token for calls on behalf of the request, and
// the id of the target that is to run it, empty when it is not known.
func NewExecution(token, target string) Execution { return Execution{token: token, target: target} }

// Token returns the token for calls on behalf of the request.
func (v Execution) Token() string { return v.token }

// Target returns the id of the target that is to run the request.
func (v Execution) Target() string { return v.target }

// ResponseInfo is what a target's answer says beside the answer. The zero value says
// nothing.
type ResponseInfo struct {
	declined bool
	moved    bool
	foreign  bool
	leaving  bool
}

// Declined reports whether the target says that it did not run the request.
func (t ResponseInfo) Declined() bool { return t.declined }

// OtherTarget reports whether another target than the one expected answered.
func (t ResponseInfo) OtherTarget() bool { return t.moved }

// OtherRequest reports whether the answer belongs to another request.
func (t ResponseInfo) OtherRequest() bool { return t.foreign }

// Leaving reports whether the target wants no new work.
func (t ResponseInfo) Leaving() bool { return t.leaving }

// AsDeclined returns what is told of a request that the target did not run.
func (t ResponseInfo) AsDeclined() ResponseInfo {
	t.declined = true
	return t
}

// AsMoved returns what is told by another target than the one expected, which
// did not run the request.
func (t ResponseInfo) AsMoved() ResponseInfo {
	t.declined, t.moved = true, true
	return t
}

// AsForeign returns what is told by the answer of another request.
func (t ResponseInfo) AsForeign() ResponseInfo {
	t.foreign = true
	return t
}

// AsLeaving returns what is told by a target that wants no new work.
func (t ResponseInfo) AsLeaving() ResponseInfo {
	t.leaving = true
	return t
}
