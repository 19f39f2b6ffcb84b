package conf

import (
	"cmp"
	"maps"
	"slices"

	"anvilstand/core/model"
)

// Draft collects the edits that lead from one configuration to the next. The
// zero value starts from the empty configuration.
type Draft struct{ next Config }

// Edit returns a draft that starts from c and leaves c unchanged.
func Edit(c *Config) *Draft {
	return &Draft{next: Config{
		revision: c.revision,
		orgs:     cloned(c.orgs),
		keys:     cloned(c.keys),
		services: cloned(c.services),
		domains:  cloned(c.domains),
		targets:  cloned(c.targets),
		hosts:    cloned(c.hosts),
	}}
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// Current returns the configuration as edited so far.
func (d *Draft) Current() *Config { return &d.next }

// Commit gives the draft its revision and returns the configuration.
func (d *Draft) Commit(rev model.Revision) *Config {
	d.next.revision = rev
	c := d.next
	return &c
}

// PutOrg sets an organisation's rate, burst and rank. Its keys stay.
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

// AddKey gives an organisation a key.
func (d *Draft) AddKey(name model.Org, k Digest) {
	o := d.next.orgs[name]
	o.keys = append(slices.Clone(o.keys), k)
	d.next.orgs[name] = o
	d.next.keys[k] = name
}

// DropKey withdraws a key.
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
	routes := slices.DeleteFunc(slices.Clone(s.routes), r.Same)
	routes = append(routes, r)
	slices.SortStableFunc(routes, byPrefix)
	s.routes = routes
	d.next.services[name] = s
}

// DropRoute removes a route from a service.
func (d *Draft) DropRoute(name model.Service, r Route) {
	s := d.next.services[name]
	s.routes = slices.DeleteFunc(slices.Clone(s.routes), r.Same)
	d.next.services[name] = s
}

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
