package conf

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"anvilstand/core/model"
)

// Part is a service's part of the requests of a route that is split.
type Part struct {
	service model.Service
	weight  float64
}

// NewPart returns a part. The weight counts relative to those of the others.
func NewPart(s model.Service, weight float64) Part { return Part{service: s, weight: weight} }

// Service returns the service that the part goes to.
func (p Part) Service() model.Service { return p.service }

// Weight returns the part's weight.
func (p Part) Weight() float64 { return p.weight }

// NewHostRoute returns a keyed route of all methods below a prefix of a host.
// It is not idempotent. Its requests reach the target with host and path as
// they came.
func NewHostRoute(host, prefix string, parts ...Part) Route {
	return Route{host: strings.ToLower(host), prefix: prefix, parts: &parts}
}

// Host returns the host that the route belongs to, empty for a route of a
// service.
func (r Route) Host() string { return r.host }

// Parts returns the services that the route's requests go to.
func (r Route) Parts() []Part {
	if r.parts == nil {
		return nil
	}
	return *r.parts
}

// Timeout returns how long a request of the route may be kept waiting, zero
// without a bound of the route's own.
func (r Route) Timeout() time.Duration { return r.timeout }

// Attempts returns the most targets that one request may be sent to, zero
// without a bound of the route's own.
func (r Route) Attempts() int { return r.attempts }

// WithTimeout returns the route with a bound on how long a request waits.
func (r Route) WithTimeout(d time.Duration) Route {
	r.timeout = d
	return r
}

// WithAttempts returns the route with a bound on the targets of one request.
func (r Route) WithAttempts(n int) Route {
	r.attempts = n
	return r
}

// Find returns the route of a host with the longest prefix that begins a path.
func (c *Config) Find(host, path string) (Route, bool) {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// PutHostRoute adds a route of a host, or replaces the one with the same
// prefix.
func (d *Draft) PutHostRoute(r Route) {
	if d.next.hosts == nil {
		d.next.hosts = map[string][]Route{}
	}
	same := func(o Route) bool { return o.prefix == r.prefix }
	list := slices.DeleteFunc(slices.Clone(d.next.hosts[r.host]), same)
	list = append(list, r)
	slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	d.next.hosts[r.host] = list
}

// Warm is how a service's targets are treated while they are cold.
type Warm struct{ rate float64 }

// NewWarm returns the rate that a cold target bears, in requests a second.
func NewWarm(rate float64) Warm { return Warm{rate: rate} }

// Rate returns the requests a second that a cold target bears, zero when
// nothing is known of it.
func (w Warm) Rate() float64 { return w.rate }

// Warm returns how the service's targets are treated while they are cold.
func (s Service) Warm() Warm { return s.warm }

// SetWarm sets how the targets of a service are treated while they are cold.
func (d *Draft) SetWarm(name model.Service, w Warm) {
	s := d.next.services[name]
	s.warm = w
	d.next.services[name] = s
}
