package change

import (
	"slices"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// Diff returns the batch of changes that, applied to from, gives a configuration
// with the same content as to. It is empty when their contents are equal.
// Revisions, warm-up rates and routes of hosts are not compared.
func Diff(from, to *conf.Config) []Change {
	var batch []Change
	batch = append(batch, diffDropped(from, to)...)
	for _, name := range to.Orgs() {
		batch = append(batch, diffOrg(from, to, name)...)
	}
	for _, name := range to.Services() {
		batch = append(batch, diffService(from, to, name)...)
	}
	batch = append(batch, diffDomains(from, to)...)
	return append(batch, diffTargets(from, to)...)
}

// diffDropped returns the deletions. They come first, so that a key that goes to
// another organisation is withdrawn before it is granted again.
func diffDropped(from, to *conf.Config) []Change {
	var batch []Change
	for _, name := range from.Orgs() {
		if _, ok := to.Org(name); !ok {
			batch = append(batch, DropOrg{name: name})
			continue
		}
		o, _ := from.Org(name)
		for _, k := range o.Keys() {
			if owner, ok := to.OrgByKey(k); !ok || owner != name {
				batch = append(batch, Withdraw{key: k})
			}
		}
	}
	for _, name := range from.Services() {
		if _, ok := to.Service(name); !ok {
			batch = append(batch, DropService{name: name})
		}
	}
	return batch
}

func diffOrg(from, to *conf.Config, name model.Org) []Change {
	var batch []Change
	old, exists := from.Org(name)
	o, _ := to.Org(name)
	if !exists {
		batch = append(batch, AddOrg{name: name, org: o})
	} else if set, changed := diffOrgProperties(name, old, o); changed {
		batch = append(batch, set)
	}
	for _, k := range o.Keys() {
		if owner, ok := from.OrgByKey(k); !ok || owner != name {
			batch = append(batch, Grant{org: name, key: k})
		}
	}
	return batch
}

// diffOrgProperties returns the change of an organisation's rate, burst, rank and
// rule for isolated domains, and whether any of them differs.
func diffOrgProperties(name model.Org, old, o conf.Org) (SetOrg, bool) {
	set := SetOrg{name: name}
	if rate := o.Rate(); rate != old.Rate() {
		set.rate = &rate
	}
	if burst := o.Burst(); burst != old.Burst() {
		set.burst = &burst
	}
	if rank := o.Rank(); rank != old.Rank() {
		set.rank = &rank
	}
	if o.IsolationRule() != old.IsolationRule() {
		set.isolationRule = o.IsolationRule()
	}
	changed := set.rate != nil || set.burst != nil || set.rank != nil || set.isolationRule != nil
	return set, changed
}

func diffService(from, to *conf.Config, name model.Service) []Change {
	var batch []Change
	old, exists := from.Service(name)
	if !exists {
		batch = append(batch, AddService{name: name})
	}
	s, _ := to.Service(name)
	for _, r := range old.Routes() {
		if !slices.ContainsFunc(s.Routes(), r.SameMatch) {
			batch = append(batch, DropRoute{service: name, route: conf.NewRoute(r.Method(), r.Prefix())})
		}
	}
	for _, r := range s.Routes() {
		if !slices.Contains(old.Routes(), r) {
			batch = append(batch, PutRoute{service: name, route: r})
		}
	}
	return batch
}

func diffDomains(from, to *conf.Config) []Change {
	var batch []Change
	for _, name := range from.DomainsOut() {
		if !to.Domain(name).Out() {
			batch = append(batch, SetDomain{name: name})
		}
	}
	for _, name := range to.DomainsOut() {
		if !from.Domain(name).Out() {
			batch = append(batch, SetDomain{name: name, out: true})
		}
	}
	return batch
}

func diffTargets(from, to *conf.Config) []Change {
	var batch []Change
	for _, name := range from.TargetsOut() {
		if !to.Target(name).Out() {
			batch = append(batch, SetTarget{name: name})
		}
	}
	for _, name := range to.TargetsOut() {
		if !from.Target(name).Out() {
			batch = append(batch, SetTarget{name: name, out: true})
		}
	}
	return batch
}
