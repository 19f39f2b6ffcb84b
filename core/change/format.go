package change

import (
	"fmt"
	"strconv"
	"strings"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// FormatBatch returns the commands for a batch, one change a line. ParseBatch
// returns the same batch for it, and so does ParseChanges unless it is empty. Keys are
// written as their digests.
func FormatBatch(batch []Change) string {
	lines := make([]string, 0, len(batch))
	for _, ch := range batch {
		lines = append(lines, Format(ch))
	}
	return strings.Join(lines, "\n")
}

// Format returns the command for one change, with a key written as its digest.
func Format(ch Change) string {
	switch ch := ch.(type) {
	case AddOrg:
		return formatAddOrg(ch.name, ch.org)
	case SetOrg:
		return formatSetOrg(ch)
	case DropOrg:
		return "drop org " + string(ch.name)
	case Grant:
		return fmt.Sprintf("grant %s digest %s", ch.org, ch.key)
	case Withdraw:
		return "withdraw digest " + ch.key.String()
	case AddService:
		return "add service " + string(ch.name)
	case DropService:
		return "drop service " + string(ch.name)
	case PutRoute:
		return formatRoute(ch.service, ch.route)
	case DropRoute:
		return fmt.Sprintf("drop route %s %s %s", ch.service, ch.route.Method(), ch.route.Prefix())
	case SetDomain:
		return formatOut("domain", string(ch.name), ch.out)
	case SetTarget:
		return formatOut("target", string(ch.name), ch.out)
	}
	return ""
}

// formatAddOrg leaves out the rule for isolated domains where it is the default,
// serve. The language has no words for an unlimited rate or an outranking rank.
func formatAddOrg(name model.Org, o conf.Org) string {
	s := fmt.Sprintf("add org %s rate %s burst %s rank %d", name, formatNumber(o.Rate()), formatNumber(o.Burst()), o.Rank())
	if _, deny := o.IsolationRule().(conf.Deny); deny {
		s += formatIsolationRule(o.IsolationRule())
	}
	return s
}

func formatSetOrg(ch SetOrg) string {
	s := "set org " + string(ch.name)
	if ch.rate != nil {
		s += " rate " + formatNumber(*ch.rate)
	}
	if ch.burst != nil {
		s += " burst " + formatNumber(*ch.burst)
	}
	if ch.rank != nil {
		s += fmt.Sprintf(" rank %d", *ch.rank)
	}
	return s + formatIsolationRule(ch.isolationRule)
}

func formatIsolationRule(rule conf.IsolationRule) string {
	switch rule.(type) {
	case conf.Serve:
		return " isolated serve"
	case conf.Deny:
		return " isolated deny"
	}
	return ""
}

func formatRoute(service model.Service, r conf.Route) string {
	s := fmt.Sprintf("add route %s %s %s", service, r.Method(), r.Prefix())
	if r.Idempotent() {
		s += " idempotent"
	}
	if r.Open() {
		s += " open"
	}
	if rank, ok := r.Rank(); ok {
		s += fmt.Sprintf(" rank %d", rank)
	}
	return s
}

func formatOut(kind, name string, out bool) string {
	if out {
		return "out " + kind + " " + name
	}
	return "in " + kind + " " + name
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }

// Describe returns the batch of changes that makes c from the empty
// configuration. Routes of hosts and warm-up rates have no commands and are left
// out. That an organisation is unlimited or outranks routes is in the batch, but
// is lost when the batch is formatted.
func Describe(c *conf.Config) []Change {
	var batch []Change
	for _, name := range c.Orgs() {
		o, _ := c.Org(name)
		batch = append(batch, AddOrg{name: name, org: o})
		for _, k := range o.Keys() {
			batch = append(batch, Grant{org: name, key: k})
		}
	}
	for _, name := range c.Services() {
		s, _ := c.Service(name)
		batch = append(batch, AddService{name: name})
		for _, r := range s.Routes() {
			batch = append(batch, PutRoute{service: name, route: r})
		}
	}
	for _, name := range c.DomainsOut() {
		batch = append(batch, SetDomain{name: name, out: c.Domain(name).Out()})
	}
	for _, name := range c.TargetsOut() {
		batch = append(batch, SetTarget{name: name, out: c.Target(name).Out()})
	}
	return batch
}
