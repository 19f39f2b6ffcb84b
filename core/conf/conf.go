// Package conf is the configuration: organisations and their keys, services with
// their routes and warm-up, routes of hosts, and the failure domains and targets
// that are out of service. It matches requests to routes and keys to
// organisations. Rates are enforced in package quota, and targets are chosen in
// package route.
//
// A published configuration is immutable; package change parses changes and
// derives the next configuration from it, and package gossip distributes them.
package conf

import (
	"maps"
	"slices"

	"anvilstand/core/model"
)

// Config is the configuration at one revision. The zero value is the empty
// configuration at revision zero. A published Config is never changed, so it can
// be used concurrently.
type Config struct {
	revision model.Revision
	orgs     map[model.Org]Org
	keys     map[Digest]model.Org
	services map[model.Service]Service
	domains  map[model.Domain]Domain
	targets  map[model.Instance]Target
	hosts    map[string][]Route
	limits   Limits
}

// Revision returns the number of the last entry of the history that was applied,
// zero for the empty configuration.
func (c *Config) Revision() model.Revision { return c.revision }

// Org returns the organisation with the given name.
func (c *Config) Org(name model.Org) (Org, bool) {
	o, ok := c.orgs[name]
	return o, ok
}

// Orgs returns the names of all organisations, sorted.
func (c *Config) Orgs() []model.Org { return slices.Sorted(maps.Keys(c.orgs)) }

// UnusableOrgs returns the names of the organisations whose requests are refused, sorted.
func (c *Config) UnusableOrgs() []model.Org {
	return slices.DeleteFunc(c.Orgs(), func(name model.Org) bool { return !c.orgs[name].unusable })
}

// Service returns the service with the given name.
func (c *Config) Service(name model.Service) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of all services, sorted.
func (c *Config) Services() []model.Service { return slices.Sorted(maps.Keys(c.services)) }

// Domain returns the configuration of a failure domain. A domain without one is
// in service.
func (c *Config) Domain(name model.Domain) Domain { return c.domains[name] }

// DomainsOut returns the names of the failure domains that are out of service,
// sorted.
func (c *Config) DomainsOut() []model.Domain { return slices.Sorted(maps.Keys(c.domains)) }

// Target returns the configuration of a target. A target without one is in
// service.
func (c *Config) Target(name model.Instance) Target { return c.targets[name] }

// TargetsOut returns the names of the targets that are out of service, sorted.
func (c *Config) TargetsOut() []model.Instance { return slices.Sorted(maps.Keys(c.targets)) }

// OrgByKey returns the organisation that a key is granted to.
func (c *Config) OrgByKey(key Digest) (model.Org, bool) {
	org, ok := c.keys[key]
	return org, ok
}

// Org is the configuration of an organisation: its rate, burst, rank, keys and
// rule for isolated domains.
type Org struct {
	rate          float64
	burst         float64
	unlimited     bool
	rank          model.Rank
	outranks      bool
	keys          []Digest
	isolationRule IsolationRule
	unusable      bool
}

// Unusable reports whether the organisation's requests are refused, because its name cannot
// be sent to targets.
func (o Org) Unusable() bool { return o.unusable }

// AsUnusable returns the organisation as one whose requests are refused. It takes part in no
// quota.
func (o Org) AsUnusable() Org {
	o.unusable, o.unlimited = true, true
	return o
}

// Rate returns the organisation's rate limit over the whole fleet, in requests
// (tokens) per second. It does not apply if Unlimited.
func (o Org) Rate() float64 { return o.rate }

// Burst returns the capacity of the organisation's token bucket over the whole
// fleet: the number of requests that it may start at once.
func (o Org) Burst() float64 { return o.burst }

// Unlimited reports whether the organisation has no rate limit, whatever its rate
// and burst are.
func (o Org) Unlimited() bool { return o.unlimited }

// AsUnlimited returns the organisation without a rate limit.
func (o Org) AsUnlimited() Org {
	o.unlimited = true
	return o
}

// Rank returns the rank of the organisation's requests.
func (o Org) Rank() model.Rank { return o.rank }

// Keys returns the digests of the keys in force, in the order in which they were
// granted.
func (o Org) Keys() []Digest { return slices.Clone(o.keys) }

// IsolationRule returns whether an isolated failure domain serves the organisation.
// The default is Serve.
func (o Org) IsolationRule() IsolationRule {
	if o.isolationRule == nil {
		return Serve{}
	}
	return o.isolationRule
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

// Outranks reports whether the organisation's rank takes precedence over the
// ranks of routes, which then count only among requests of organisations of the
// same rank. Otherwise a route with a rank of its own sets the request's.
func (o Org) Outranks() bool { return o.outranks }

// AsOutranking returns the organisation with a rank that takes precedence over
// the ranks of routes.
func (o Org) AsOutranking() Org {
	o.outranks = true
	return o
}

// WithIsolationRule returns the organisation with another rule for isolated domains.
func (o Org) WithIsolationRule(rule IsolationRule) Org {
	o.isolationRule = rule
	return o
}

// IsolationRule says whether an isolated failure domain serves an organisation's
// requests. A domain is isolated while its daemons have contact neither with the
// store nor with another domain.
//
//sumtype:decl
type IsolationRule interface{ isIsolationRule() }

// Members of IsolationRule. Nil means Serve.
type (
	// Serve serves the requests by the last configuration known.
	Serve struct{}
	// Deny refuses the requests once the domain has been isolated for longer
	// than the isolation limit in the daemon's settings.
	Deny struct{}
)

func (Serve) isIsolationRule() {}
func (Deny) isIsolationRule()  {}

// Domain is the configuration of a failure domain. The zero value is in service.
type Domain struct{ out bool }

// Out reports whether the domain is out of service.
func (d Domain) Out() bool { return d.out }

// Target is the configuration of a target. The zero value is in service.
type Target struct{ out bool }

// Out reports whether the target is out of service.
func (t Target) Out() bool { return t.out }

// Service is the configuration of a service: its routes and the warm-up of its
// targets.
type Service struct {
	routes []Route
	warmup Warmup
}

// Routes returns the routes, those with the longest prefix first.
func (s Service) Routes() []Route { return slices.Clone(s.routes) }

// Match returns the route with the longest prefix that matches a method and a
// path below the service.
func (s Service) Match(method, path string) (Route, bool) {
	for i := range s.routes {
		if s.routes[i].matches(method, path) {
			return s.routes[i], true
		}
	}
	return Route{}, false
}
