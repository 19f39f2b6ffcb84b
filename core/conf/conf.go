// Package conf is the configuration: an immutable value that package change
// derives from an earlier one.
package conf

import (
	"maps"
	"slices"

	"anvilstand/core/model"
)

// Config is the configuration at one revision. The zero value is the empty
// configuration at revision zero. A Config is never changed once published.
type Config struct {
	revision model.Revision
	orgs     map[model.Org]Org
	keys     map[Digest]model.Org
	services map[model.Service]Service
	domains  map[model.Domain]Domain
	targets  map[model.Instance]Target
	hosts    map[string][]Route
}

// Revision returns the number of the last change.
func (c *Config) Revision() model.Revision { return c.revision }

// Org returns the organisation with the given name.
func (c *Config) Org(name model.Org) (Org, bool) {
	o, ok := c.orgs[name]
	return o, ok
}

// Orgs returns the names of all organisations in order.
func (c *Config) Orgs() []model.Org { return slices.Sorted(maps.Keys(c.orgs)) }

// Service returns the service with the given name.
func (c *Config) Service(name model.Service) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of all services in order.
func (c *Config) Services() []model.Service { return slices.Sorted(maps.Keys(c.services)) }

// Domain returns what the configuration says of a failure domain. A domain
// that it does not name is in service.
func (c *Config) Domain(name model.Domain) Domain { return c.domains[name] }

// Domains returns the names of the failure domains that are out of service.
func (c *Config) Domains() []model.Domain { return slices.Sorted(maps.Keys(c.domains)) }

// Target returns what the configuration says of a target. A target that it
// does not name is in service.
func (c *Config) Target(name model.Instance) Target { return c.targets[name] }

// Targets returns the names of the targets that are out of service.
func (c *Config) Targets() []model.Instance { return slices.Sorted(maps.Keys(c.targets)) }

// Holder returns the organisation that holds a key.
func (c *Config) Holder(key Digest) (model.Org, bool) {
	org, ok := c.keys[key]
	return org, ok
}

// Org is an organisation: its rate, burst, rank and keys.
type Org struct {
	rate     float64
	burst    float64
	free     bool
	rank     model.Rank
	outranks bool
	keys     []Digest
	isolated Isolated
}

// Rate returns the requests a second that the organisation may start.
func (o Org) Rate() float64 { return o.rate }

// Burst returns the requests that the organisation may start at once.
func (o Org) Burst() float64 { return o.burst }

// Unbounded reports whether the organisation is held to no rate.
func (o Org) Unbounded() bool { return o.free }

// AsUnbounded returns the organisation held to no rate.
func (o Org) AsUnbounded() Org {
	o.free = true
	return o
}

// Rank returns the importance of the organisation's requests.
func (o Org) Rank() model.Rank { return o.rank }

// Keys returns the digests of the keys in force, the oldest first.
func (o Org) Keys() []Digest { return slices.Clone(o.keys) }

// Isolated returns what a cut-off failure domain does for the organisation.
func (o Org) Isolated() Isolated {
	if o.isolated == nil {
		return Serve{}
	}
	return o.isolated
}

// WithRate returns the organisation with another rate and burst.
func (o Org) WithRate(rate, burst float64) Org {
	o.rate, o.burst = rate, burst
	return o
}

// WithRank returns the organisation with another rank.
func (o Org) WithRank(r model.Rank) Org {
	o.rank = r
	return o
}

// Outranks reports whether the organisation's rank goes before those of
// routes.
func (o Org) Outranks() bool { return o.outranks }

// AsOutranking returns the organisation with a rank that goes before those of
// routes.
func (o Org) AsOutranking() Org {
	o.outranks = true
	return o
}

// WithIsolated returns the organisation with another rule for cut-off domains.
func (o Org) WithIsolated(i Isolated) Org {
	o.isolated = i
	return o
}

// Isolated is what a failure domain that has heard from nobody does for the
// keyed requests of an organisation.
//
//sumtype:decl
type Isolated interface{ isIsolated() }

// Members of Isolated. A nil Isolated means Serve.
type (
	// Serve goes on serving by the last configuration known.
	Serve struct{}
	// Deny refuses once the domain has been cut off for the set time.
	Deny struct{}
)

func (Serve) isIsolated() {}
func (Deny) isIsolated()  {}

// Domain is what the configuration says of a failure domain.
type Domain struct{ out bool }

// Out reports whether the domain is taken out of service.
func (d Domain) Out() bool { return d.out }

// Target is what the configuration says of a target.
type Target struct{ out bool }

// Out reports whether the target is taken out of service.
func (t Target) Out() bool { return t.out }

// Service is a service and its routes.
type Service struct {
	routes []Route
	warm   Warm
}

// Routes returns the routes, the longest prefix first.
func (s Service) Routes() []Route { return slices.Clone(s.routes) }

// Match returns the route for a method and a path below the service.
func (s Service) Match(method, path string) (Route, bool) {
	for i := range s.routes {
		if s.routes[i].matches(method, path) {
			return s.routes[i], true
		}
	}
	return Route{}, false
}
