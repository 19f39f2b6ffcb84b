package conf

import (
	"cmp"
	"maps"
	"slices"

	"anvilstand/core/model"
)

// Draft is a configuration that is being edited. Edit returns one; the zero value
// cannot be edited. A Draft is not safe for concurrent use.
type Draft struct{ next Config }

// Edit returns a draft that starts from c and leaves c unchanged.
func Edit(c *Config) *Draft {
	return &Draft{next: Config{
		revision: c.revision,
		orgs:     clone(c.orgs),
		keys:     clone(c.keys),
		services: clone(c.services),
		domains:  clone(c.domains),
		targets:  clone(c.targets),
		hosts:    clone(c.hosts),
		limits:   c.limits,
	}}
}

func clone[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// Current returns the configuration as edited so far. Later edits change it.
func (d *Draft) Current() *Config { return &d.next }

// Build returns the edited configuration with revision rev. It stores nothing.
// The draft must not be edited afterwards.
func (d *Draft) Build(rev model.Revision) *Config {
	d.next.revision = rev
	c := d.next
	return &c
}

// PutOrg creates or replaces an organisation. An existing one keeps its keys.
func (d *Draft) PutOrg(name model.Org, o Org) {
	o.keys = d.next.orgs[name].keys
	d.next.orgs[name] = o
}

// DropOrg removes an organisation and its keys.
func (d *Draft) DropOrg(name model.Org) {
	for _, k := range d.next.orgs[name].keys {
		delete(d.next.keys, k)
	}
	delete(d.next.orgs, name)
}

// AddKey grants a key to an organisation.
func (d *Draft) AddKey(name model.Org, k Digest) {
	o := d.next.orgs[name]
	o.keys = append(slices.Clone(o.keys), k)
	d.next.orgs[name] = o
	d.next.keys[k] = name
}

// DropKey withdraws a key. If it is not granted, nothing changes.
func (d *Draft) DropKey(k Digest) {
	name, ok := d.next.keys[k]
	if !ok {
		return
	}
	o := d.next.orgs[name]
	o.keys = slices.DeleteFunc(slices.Clone(o.keys), func(e Digest) bool { return e == k })
	d.next.orgs[name] = o
	delete(d.next.keys, k)
}

// PutService adds a service without routes. An existing one stays as it is.
func (d *Draft) PutService(name model.Service) {
	if _, ok := d.next.services[name]; !ok {
		d.next.services[name] = Service{}
	}
}

// DropService removes a service and its routes.
func (d *Draft) DropService(name model.Service) { delete(d.next.services, name) }

// PutRoute adds a route to a service, or replaces the one with the same method
// and prefix.
func (d *Draft) PutRoute(name model.Service, r Route) {
	s := d.next.services[name]
	routes := slices.DeleteFunc(slices.Clone(s.routes), r.SameMatch)
	routes = append(routes, r)
	slices.SortStableFunc(routes, byPrefix)
	s.routes = routes
	d.next.services[name] = s
}

// DropRoute removes a route from a service.
func (d *Draft) DropRoute(name model.Service, r Route) {
	s := d.next.services[name]
	s.routes = slices.DeleteFunc(slices.Clone(s.routes), r.SameMatch)
	d.next.services[name] = s
}

// byPrefix compares routes by decreasing length of their prefix, so that the first
// that matches is the most specific one, then by prefix and method.
func byPrefix(a, b Route) int {
	if n := cmp.Compare(len(b.prefix), len(a.prefix)); n != 0 {
		return n
	}
	return cmp.Or(cmp.Compare(a.prefix, b.prefix), cmp.Compare(a.method, b.method))
}

// SetDomain takes a failure domain out of service or brings it back.
func (d *Draft) SetDomain(name model.Domain, out bool) {
	delete(d.next.domains, name)
	if out {
		d.next.domains[name] = Domain{out: true}
	}
}

// SetTarget takes a target out of service or brings it back.
func (d *Draft) SetTarget(name model.Instance, out bool) {
	delete(d.next.targets, name)
	if out {
		d.next.targets[name] = Target{out: true}
	}
}
