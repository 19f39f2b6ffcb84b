package query

import (
	"fmt"
	"time"

	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Table is an answer: named columns and rows of as many cells.
type Table struct {
	columns []string
	rows    [][]string
}

// NewTable returns an empty table.
func NewTable(columns ...string) *Table { return &Table{columns: columns} }

// Add appends a row.
func (t *Table) Add(cells ...string) { t.rows = append(t.rows, cells) }

// Columns returns the names of the columns.
func (t *Table) Columns() []string { return t.columns }

// Rows returns the rows.
func (t *Table) Rows() [][]string { return t.rows }

// Source is what a daemon knows, as one snapshot.
type Source interface {
	// Config returns the configuration in force at this daemon.
	Config() *conf.Config
	// Self returns the daemon that answers.
	Self() fleet.Member
	// Entries returns the newest changes, the oldest first.
	Entries() []change.Entry
	// Domains returns the failure domains known.
	Domains() []model.Domain
	// Heard returns how long ago another failure domain was heard here, and
	// how many of its daemons had then confirmed which revision.
	Heard(model.Domain) (time.Duration, peer.Covered, bool)
	// Covered returns the daemons of the own failure domain that have
	// confirmed to this one: all that answer, if it is a watcher.
	Covered() peer.Covered
	// Watching reports whether this daemon is a watcher.
	Watching() bool
	// Members returns the daemons known.
	Members() []fleet.Member
	// Served returns the requests of an organisation served and refused here,
	// by reason.
	Served(org model.Org) Count
	// Trace returns what this daemon decided about a request, a line a step.
	Trace(id model.Request) []string
}

// Count is how many requests of an organisation this daemon took in.
type Count struct {
	served  uint64
	refused map[string]uint64
}

// NewCount returns a count. The refusals are by the reason's name.
func NewCount(served uint64, refused map[string]uint64) Count {
	return Count{served: served, refused: refused}
}

// Answer answers a query from a snapshot.
func Answer(s Source, q Query) *Table {
	switch q := q.(type) {
	case Revision:
		return answerRevision(s)
	case Orgs:
		return answerOrgs(s)
	case Services:
		return answerServices(s)
	case Targets:
		return answerTargets(s)
	case Served:
		return answerServed(s)
	case Force:
		return answerForce(s)
	case History:
		return answerHistory(s)
	case Explain:
		return answerExplain(s, q)
	}
	return NewTable()
}

func answerRevision(s Source) *Table {
	t := NewTable("revision")
	t.Add(fmt.Sprint(s.Config().Revision()))
	return t
}

func answerOrgs(s Source) *Table {
	t := NewTable("org", "rate", "burst", "rank", "keys")
	c := s.Config()
	for _, name := range c.Orgs() {
		o, _ := c.Org(name)
		t.Add(string(name), fmt.Sprint(o.Rate()), fmt.Sprint(o.Burst()), fmt.Sprint(o.Rank()), fmt.Sprint(len(o.Keys())))
	}
	return t
}

func answerServices(s Source) *Table {
	t := NewTable("service", "method", "prefix", "idempotent", "open")
	c := s.Config()
	for _, name := range c.Services() {
		service, _ := c.Service(name)
		for _, r := range service.Routes() {
			t.Add(string(name), r.Method(), r.Prefix(), fmt.Sprint(r.Idempotent()), fmt.Sprint(r.Open()))
		}
	}
	return t
}

func answerTargets(s Source) *Table {
	t := NewTable("target", "domain", "service", "state")
	for _, m := range s.Members() {
		t.Add(string(m.Name()), string(m.Domain()), string(m.Service()), stateName(s.Config(), m))
	}
	return t
}

func stateName(c *conf.Config, m fleet.Member) string {
	switch {
	case m.Leaving():
		return "leaving"
	case c.Domain(m.Domain()).Out():
		return "domainout"
	case c.Target(m.Name()).Out():
		return "out"
	}
	return "serving"
}

func answerServed(s Source) *Table {
	t := NewTable("org", "served", "reason", "refused")
	for _, name := range s.Config().Orgs() {
		n := s.Served(name)
		t.Add(string(name), fmt.Sprint(n.served), "", "")
		for _, r := range model.Reasons() {
			if k := n.refused[model.ReasonName(r)]; k > 0 {
				t.Add(string(name), "", model.ReasonName(r), fmt.Sprint(k))
			}
		}
	}
	return t
}

func answerExplain(s Source, q Explain) *Table {
	t := NewTable("step")
	for _, line := range s.Trace(q.ID()) {
		t.Add(line)
	}
	return t
}
