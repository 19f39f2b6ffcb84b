// Package query holds the queries of the operators' language and answers them
// from a snapshot.
package query

import (
	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// Query is a question of an operator.
//
//sumtype:decl
type Query interface{ isQuery() }

// Members of Query.
type (
	// Revision asks which configuration is in force.
	Revision struct{}
	// Orgs asks for the organisations in force.
	Orgs struct{}
	// Services asks for the services and routes in force.
	Services struct{}
	// Targets asks for the targets and their state.
	Targets struct{}
	// Served asks who is served, by organisation.
	Served struct{}
	// Force asks which revision is in force in each failure domain, as far as
	// it is known here.
	Force struct{}
	// History asks for the newest changes with their operators.
	History struct{}
	// Explain asks what happened to one request.
	Explain struct{ id model.Request }
)

func (Revision) isQuery() {}
func (Orgs) isQuery()     {}
func (Services) isQuery() {}
func (Targets) isQuery()  {}
func (Served) isQuery()   {}
func (Force) isQuery()    {}
func (History) isQuery()  {}
func (Explain) isQuery()  {}

// ID returns the request asked about.
func (e Explain) ID() model.Request { return e.id }

// Parse reads one query. An error is a *lang.Fault.
func Parse(text string) (Query, error) {
	statements, err := lang.Split(text)
	if err != nil {
		return nil, err
	}
	if len(statements) != 1 {
		return nil, lang.Expected(lang.Word{}, "one query")
	}
	r := statements[0]
	q, err := parseOne(r)
	if err != nil {
		return nil, err
	}
	return q, r.End()
}

func parseOne(r *lang.Reader) (Query, error) {
	word, err := r.Choice("revision", "orgs", "services", "targets", "served", "force", "history", "explain")
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
	case "force":
		return Force{}, nil
	case "history":
		return History{}, nil
	}
	id, err := r.Name("the id of a request")
	return Explain{id: model.Request(id)}, err
}
