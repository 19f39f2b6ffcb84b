package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"anvilstand/core/model"
)

// WeightedService is a service and the weight by which it gets requests of a route
// that is split over several services.
type WeightedService struct {
	service model.Service
	weight  float64
}

// NewWeightedService returns a service with a weight. The fraction of the route's
// requests that it gets is its weight divided by the sum of the weights.
func NewWeightedService(s model.Service, weight float64) WeightedService {
	return WeightedService{service: s, weight: weight}
}

// Service returns the name of the service.
func (w WeightedService) Service() model.Service { return w.service }

// Weight returns the weight relative to those of the route's other services.
func (w WeightedService) Weight() float64 { return w.weight }

// NewHostRoute returns a route for all methods and all paths of a host that begin
// with a prefix. It needs a key and is not idempotent. Its requests are sent to
// the target with their Host header and path unchanged.
func NewHostRoute(host, prefix string, split ...WeightedService) Route {
	return Route{host: normalHost(host), prefix: escapePath(prefix), split: &split}
}

// Host returns the host that the route belongs to, in lower case and without a port. It is
// empty for a route of a service.
func (r Route) Host() string { return r.host }

// Split returns the services that the route's requests go to, with their weights.
// It is nil for a route of a service.
func (r Route) Split() []WeightedService {
	if r.split == nil {
		return nil
	}
	return *r.split
}

// Timeout returns the longest time that a request on the route may take, zero
// when the route sets no limit.
func (r Route) Timeout() time.Duration { return r.timeout }

// AttemptLimit returns the largest number of attempts of one request that may reach a
// target, the same target or another, zero when the route sets no limit. Attempts
// that reach no target do not count.
func (r Route) AttemptLimit() int { return r.attemptLimit }

// WithTimeout returns the route with a limit on the time of a request.
func (r Route) WithTimeout(d time.Duration) Route {
	r.timeout = d
	return r
}

// WithAttemptLimit returns the route with a limit on the attempts of one request that
// reach a target.
func (r Route) WithAttemptLimit(n int) Route {
	r.attemptLimit = n
	return r
}

// MatchHost returns the route of a host with the longest prefix that the path
// begins with. Unlike those of Service.Match, the prefix may end within a path
// segment. Bytes that need an escape match with one and without.
func (c *Config) MatchHost(host, path string) (Route, bool) {
	path = escapePath(path)
	for _, r := range c.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// normalHost returns a host as routes are found by it: in lower case, without a port and
// without the dot at the end that marks a name as complete (RFC 9110, section 7.2, and
// RFC 3986, section 3.2.2).
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// escapePath returns a path with an escape, in capitals, for each byte that must not occur
// in one. The escapes of other bytes stay as they are.
func escapePath(path string) string {
	if !strings.ContainsFunc(path, func(r rune) bool { return r == '%' || needsEscape(r) }) {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		c, escaped := path[i], false
		if c == '%' && i+2 < len(path) {
			n, err := strconv.ParseUint(path[i+1:i+3], 16, 8)
			escaped = err == nil && needsEscape(rune(n))
			if escaped {
				c, i = byte(n), i+2
			}
		}
		if escaped || needsEscape(rune(c)) {
			fmt.Fprintf(&b, "%%%02X", c)
			continue
		}
		b.WriteByte(c)
	}
	return b.String()
}

// needsEscape reports whether a byte, or a character that is not ASCII, must not occur in a
// path (RFC 3986, section 3.3).
func needsEscape(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"<>\\^`{|}#?", r)
}

// PutHostRoute adds a route to its host, or replaces the one with the same
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

// Warmup is the warm-up of a service's targets: the load that a target can take
// after a cold start.
type Warmup struct{ rate float64 }

// NewWarmup returns the warm-up with the rate that a cold target can take, in
// requests per second.
func NewWarmup(rate float64) Warmup { return Warmup{rate: rate} }

// Rate returns the requests per second that a cold target can take, zero when it
// is not known.
func (w Warmup) Rate() float64 { return w.rate }

// Warmup returns the warm-up of the service's targets.
func (s Service) Warmup() Warmup { return s.warmup }

// SetWarmup sets the warm-up of a service's targets.
func (d *Draft) SetWarmup(name model.Service, w Warmup) {
	s := d.next.services[name]
	s.warmup = w
	d.next.services[name] = s
}
