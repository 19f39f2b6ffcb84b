package conf

import (
	"strings"
	"time"

	"anvilstand/core/model"
)

// Route is one method and path prefix of a service, or a path prefix of a host.
type Route struct {
	host       string
	parts      *[]Part // by pointer, so that routes compare
	timeout    time.Duration
	attempts   int
	method     string
	prefix     string
	idempotent bool
	open       bool
	ranked     bool
	rank       model.Rank
}

// NewRoute returns a keyed route that is not idempotent.
func NewRoute(method, prefix string) Route { return Route{method: method, prefix: prefix} }

// Method returns the HTTP method.
func (r Route) Method() string { return r.method }

// Prefix returns the path prefix below the service.
func (r Route) Prefix() string { return r.prefix }

// Idempotent reports whether running a request twice has the effect of once.
func (r Route) Idempotent() bool { return r.idempotent }

// Open reports whether the route needs no key.
func (r Route) Open() bool { return r.open }

// Rank returns the route's own rank, and whether it has one.
func (r Route) Rank() (model.Rank, bool) { return r.rank, r.ranked }

// AsIdempotent returns the route marked as idempotent.
func (r Route) AsIdempotent() Route {
	r.idempotent = true
	return r
}

// AsOpen returns the route marked as open to all.
func (r Route) AsOpen() Route {
	r.open = true
	return r
}

// WithRank returns the route with a rank of its own.
func (r Route) WithRank(rank model.Rank) Route {
	r.rank, r.ranked = rank, true
	return r
}

// Same reports whether two routes have the same method and prefix.
func (r Route) Same(s Route) bool { return r.method == s.method && r.prefix == s.prefix }

func (r Route) matches(method, path string) bool {
	if r.method != method || !strings.HasPrefix(path, r.prefix) {
		return false
	}
	rest := path[len(r.prefix):]
	return rest == "" || rest[0] == '/' || strings.HasSuffix(r.prefix, "/")
}
