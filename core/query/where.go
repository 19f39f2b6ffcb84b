package query

import (
	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// Where asks where a request would go now, and why, without sending it.
type Where struct {
	method string
	path   string
	host   string
	org    model.Org
}

func (Where) isQuery() {}

// NewWhere returns the query for a request of an organisation, which may be empty, with a
// method and a path. The host is empty where paths begin with the service.
func NewWhere(method, path, host string, org model.Org) Where {
	return Where{method: method, path: path, host: host, org: org}
}

// Method returns the request's method.
func (w Where) Method() string { return w.method }

// Path returns the request's path.
func (w Where) Path() string { return w.path }

// Host returns the request's host, empty where paths begin with the service.
func (w Where) Host() string { return w.host }

// Org returns the organisation of the request, empty for none.
func (w Where) Org() model.Org { return w.org }

// Decision is one of the decisions about a request, with the figures that decide it.
type Decision struct{ step, outcome, why string }

// NewDecision returns the decision of a step.
func NewDecision(step, outcome, why string) Decision {
	return Decision{step: step, outcome: outcome, why: why}
}

// parseWhere parses METHOD PATH [host HOST] [org ORG].
func parseWhere(r *lang.Reader) (Query, error) {
	var w Where
	var err error
	if w.method, err = r.Name("a method"); err != nil {
		return nil, err
	}
	if w.path, err = r.Text("a path"); err != nil {
		return nil, err
	}
	for r.More() {
		word, err := r.Choice("host", "org")
		if err != nil {
			return nil, err
		}
		switch word {
		case "host":
			w.host, err = r.Name("a host")
		case "org":
			var name string
			name, err = r.Name("an organisation")
			w.org = model.Org(name)
		}
		if err != nil {
			return nil, err
		}
	}
	return w, nil
}

func answerWhere(s Source, q Where) *Table {
	t := NewTable("step", "outcome", "why")
	for _, d := range s.Decide(q) {
		t.Add(d.step, d.outcome, d.why)
	}
	return t
}
