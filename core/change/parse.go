package change

import (
	"strings"

	"anvilstand/core/conf"
	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// Largest rate and burst of an organisation.
const (
	MaxRate  = 1e7 // requests per second
	MaxBurst = 1e7 // requests
)

// ParseChanges parses the text of one or more changes. Unlike ParseBatch it refuses a
// text without changes. An error is a *lang.SyntaxError.
func ParseChanges(text string) ([]Change, error) {
	batch, err := ParseBatch(text)
	if err == nil && len(batch) == 0 {
		return nil, lang.Expected(lang.Word{}, "a command")
	}
	return batch, err
}

// ParseBatch parses the text of any number of changes, also of none, which
// describes the empty configuration. An error is a *lang.SyntaxError.
func ParseBatch(text string) ([]Change, error) {
	statements, err := lang.Split(text)
	if err != nil {
		return nil, err
	}
	var batch []Change
	for _, r := range statements {
		ch, err := parseChange(r)
		if err != nil {
			return nil, err
		}
		if err := r.End(); err != nil {
			return nil, err
		}
		batch = append(batch, ch)
	}
	return batch, nil
}

func parseChange(r *lang.Reader) (Change, error) {
	verb, err := r.Choice("add", "set", "drop", "grant", "withdraw", "out", "in")
	if err != nil {
		return nil, err
	}
	switch verb {
	case "add":
		return parseAdd(r)
	case "set":
		return parseSet(r)
	case "drop":
		return parseDrop(r)
	case "grant":
		return parseGrant(r)
	case "withdraw":
		return parseWithdraw(r)
	}
	return parseOut(r, verb == "out")
}

func parseAdd(r *lang.Reader) (Change, error) {
	kind, err := r.Choice("org", "service", "route")
	if err != nil {
		return nil, err
	}
	switch kind {
	case "org":
		return parseAddOrg(r)
	case "service":
		name, err := r.Name("the name of a service")
		return AddService{name: model.Service(name)}, err
	}
	return parsePutRoute(r)
}

func parseAddOrg(r *lang.Reader) (Change, error) {
	set, err := parseOrgProperties(r)
	if err != nil {
		return nil, err
	}
	if set.rate == nil {
		return nil, r.Expected("rate")
	}
	if set.burst == nil {
		return nil, r.Expected("burst")
	}
	o := conf.Org{}.WithRate(*set.rate, *set.burst).WithRank(model.RankDefault).WithIsolationRule(set.isolationRule)
	if set.rank != nil {
		o = o.WithRank(*set.rank)
	}
	return AddOrg{name: set.name, org: o}, nil
}

func parseSet(r *lang.Reader) (Change, error) {
	kind, err := r.Choice("org", "route")
	if err != nil {
		return nil, err
	}
	if kind == "route" {
		return parsePutRoute(r)
	}
	set, err := parseOrgProperties(r)
	if err != nil {
		return nil, err
	}
	if set.rate == nil && set.burst == nil && set.rank == nil && set.isolationRule == nil {
		return nil, r.Expected("rate, burst, rank, isolated")
	}
	return set, nil
}

func parseOrgProperties(r *lang.Reader) (SetOrg, error) {
	name, err := r.Name("the name of an organisation")
	set := SetOrg{name: model.Org(name)}
	for err == nil && r.More() {
		err = parseOrgProperty(r, &set)
	}
	return set, err
}

func parseOrgProperty(r *lang.Reader, set *SetOrg) error {
	property, err := r.Choice("rate", "burst", "rank", "isolated")
	if err != nil {
		return err
	}
	switch property {
	case "rate":
		n, err := r.Float("requests a second", 0, MaxRate)
		set.rate = &n
		return err
	case "burst":
		n, err := r.Float("requests", 0, MaxBurst)
		set.burst = &n
		return err
	case "rank":
		n, err := parseRank(r)
		set.rank = &n
		return err
	}
	word, err := r.Choice("serve", "deny")
	set.isolationRule = conf.Serve{}
	if word == "deny" {
		set.isolationRule = conf.Deny{}
	}
	return err
}

func parseRank(r *lang.Reader) (model.Rank, error) {
	n, err := r.Uint("a rank", uint64(model.RankHighest), uint64(model.RankLowest))
	return model.Rank(n), err
}

func parseDrop(r *lang.Reader) (Change, error) {
	kind, err := r.Choice("org", "service", "route")
	if err != nil {
		return nil, err
	}
	switch kind {
	case "org":
		name, err := r.Name("the name of an organisation")
		return DropOrg{name: model.Org(name)}, err
	case "service":
		name, err := r.Name("the name of a service")
		return DropService{name: model.Service(name)}, err
	}
	service, route, err := parseRoute(r)
	return DropRoute{service: service, route: route}, err
}

func parseRoute(r *lang.Reader) (model.Service, conf.Route, error) {
	name, err := r.Name("the name of a service")
	if err != nil {
		return "", conf.Route{}, err
	}
	method, err := r.Choice("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
	if err != nil {
		return "", conf.Route{}, err
	}
	if !strings.HasPrefix(r.Peek().Text(), "/") {
		return "", conf.Route{}, r.Expected("a path that begins with /")
	}
	prefix, err := r.Text("a path")
	return model.Service(name), conf.NewRoute(method, prefix), err
}

func parsePutRoute(r *lang.Reader) (Change, error) {
	service, route, err := parseRoute(r)
	for err == nil && r.More() {
		route, err = parseRouteOption(r, route)
	}
	return PutRoute{service: service, route: route}, err
}

func parseRouteOption(r *lang.Reader, route conf.Route) (conf.Route, error) {
	option, err := r.Choice("idempotent", "open", "rank")
	if err != nil {
		return route, err
	}
	switch option {
	case "idempotent":
		return route.AsIdempotent(), nil
	case "open":
		return route.AsOpen(), nil
	}
	rank, err := parseRank(r)
	return route.WithRank(rank), err
}

func parseGrant(r *lang.Reader) (Change, error) {
	name, err := r.Name("the name of an organisation")
	if err != nil {
		return nil, err
	}
	key, err := parseKey(r)
	return Grant{org: model.Org(name), key: key}, err
}

func parseWithdraw(r *lang.Reader) (Change, error) {
	key, err := parseKey(r)
	return Withdraw{key: key}, err
}

// MinKey is the length of the shortest key that can be granted, in bytes. The error
// text of parseKey contains the number.
const MinKey = 8

func parseKey(r *lang.Reader) (conf.Digest, error) {
	form, err := r.Choice("key", "digest")
	if err != nil {
		return conf.Digest{}, err
	}
	if form == "key" {
		if n := len(r.Peek().Text()); n < MinKey {
			return conf.Digest{}, lang.Expected(lang.Word{}, "a key of at least 8 bytes")
		}
		key, err := r.Text("a key")
		return conf.DigestOf(key), err
	}
	d, ok := conf.ParseDigest(r.Peek().Text())
	if !ok {
		return d, r.Expected("a SHA-256 digest of 64 hexadecimal digits")
	}
	r.Skip()
	return d, nil
}

func parseOut(r *lang.Reader, out bool) (Change, error) {
	kind, err := r.Choice("domain", "target")
	if err != nil {
		return nil, err
	}
	if kind == "domain" {
		name, err := r.Name("the name of a failure domain")
		return SetDomain{name: model.Domain(name), out: out}, err
	}
	name, err := r.Name("the name of a target")
	return SetTarget{name: model.Instance(name), out: out}, err
}
