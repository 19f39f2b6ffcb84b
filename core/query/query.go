// Package query parses operators' queries and answers them with tables, from a
// consistent view of a daemon's state. Queries change nothing; commands are in
// package change.
package query

import (
	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// Query is an operator's query.
//
//sumtype:decl
type Query interface{ isQuery() }

// Members of Query.
type (
	// Revision asks for the revision in force at this daemon.
	Revision struct{}
	// Orgs asks for the organisations in force.
	Orgs struct{}
	// Services asks for the services and routes in force.
	Services struct{}
	// Targets asks for the targets and their state.
	Targets struct{}
	// Served asks how many requests this daemon served and refused, by
	// organisation.
	Served struct{}
	// Shares asks for the holders of each organisation's quota leases, and for
	// the state of those that this daemon holds.
	Shares struct{}
	// Rollouts asks for the orders of rollouts and their states.
	Rollouts struct{}
	// InForce asks which revision is in force at this daemon and, as far as this
	// daemon knows, in each failure domain.
	InForce struct{}
	// History asks for the newest entries of the configuration's history: their
	// revisions, changes and operators.
	History struct{}
	// Explain asks for the trace of one request that this daemon still has in
	// memory. The subcommand explain reads saved logs of several daemons
	// instead.
	Explain struct{ id model.Request }
)

func (Revision) isQuery() {}
func (Orgs) isQuery()     {}
func (Services) isQuery() {}
func (Targets) isQuery()  {}
func (Served) isQuery()   {}
func (Shares) isQuery()   {}
func (Rollouts) isQuery() {}
func (InForce) isQuery()  {}
func (History) isQuery()  {}
func (Explain) isQuery()  {}

// ID returns the id of the request asked about.
func (e Explain) ID() model.Request { return e.id }

// Parse parses the text of one query. An error is a *lang.SyntaxError.
func Parse(text string) (Query, error) {
	statements, err := lang.Split(text)
	if err != nil {
		return nil, err
	}
	if len(statements) != 1 {
		return nil, lang.Expected(lang.Word{}, "one query")
	}
	r := statements[0]
	q, err := parseQuery(r)
	if err != nil {
		return nil, err
	}
	return q, r.End()
}

func parseQuery(r *lang.Reader) (Query, error) {
	word, err := r.Choice("revision", "orgs", "services", "targets", "served", "shares", "rollouts", "force", "history", "explain", "where")
	if err != nil {
		return nil, err
	}
	switch word {
	case "revision":
		return Revision{}, nil
	case "orgs":
		return Orgs{}, nil
	case "services":
		return Services{}, nil
	case "targets":
		return Targets{}, nil
	case "served":
		return Served{}, nil
	case "shares":
		return Shares{}, nil
	case "rollouts":
		return Rollouts{}, nil
	case "force":
		return InForce{}, nil
	case "history":
		return History{}, nil
	case "where":
		return parseWhere(r)
	}
	id, err := r.Name("the id of a request")
	return Explain{id: model.Request(id)}, err
}
