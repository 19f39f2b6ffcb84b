package conf

import (
	"strings"
	"time"

	"anvilstand/core/model"
)

// Route matches requests by method and path prefix below a service, or by path
// prefix of a host, and says how they are treated. Routes compare with ==.
type Route struct {
	host         string
	split        *[]WeightedService // a pointer, because slices do not compare with ==
	timeout      time.Duration
	attemptLimit int
	method       string
	prefix       string
	idempotent   bool
	open         bool
	ranked       bool
	rank         model.Rank
}

// NewRoute returns a route of a service. It needs a key and is not idempotent.
func NewRoute(method, prefix string) Route { return Route{method: method, prefix: prefix} }

// Method returns the HTTP method, empty for a route of a host.
func (r Route) Method() string { return r.method }

// Prefix returns the path prefix, below the service or of the host.
func (r Route) Prefix() string { return r.prefix }

// Idempotent reports whether running a request twice has the same effect as
// running it once, so that it can be retried although it may have run.
func (r Route) Idempotent() bool { return r.idempotent }

// Open reports whether a request without a key is served.
func (r Route) Open() bool { return r.open }

// Rank returns the route's own rank, and whether it has one.
func (r Route) Rank() (model.Rank, bool) { return r.rank, r.ranked }

// AsIdempotent returns the route marked as idempotent.
func (r Route) AsIdempotent() Route {
	r.idempotent = true
	return r
}

// AsOpen returns the route that also serves requests without a key.
func (r Route) AsOpen() Route {
	r.open = true
	return r
}

// WithRank returns the route with a rank of its own.
func (r Route) WithRank(rank model.Rank) Route {
	r.rank, r.ranked = rank, true
	return r
}

// SameMatch reports whether two routes of a service have the same method and
// prefix.
func (r Route) SameMatch(s Route) bool { return r.method == s.method && r.prefix == s.prefix }

func (r Route) matches(method, path string) bool {
	if r.method != method || !strings.HasPrefix(path, r.prefix) {
		return false
	}
	rest := path[len(r.prefix):]
	return rest == "" || rest[0] == '/' || strings.HasSuffix(r.prefix, "/")
}
