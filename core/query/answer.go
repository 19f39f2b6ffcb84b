package query

import (
	"fmt"
	"time"

	"anvilstand/core/canary"
	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/quota"
)

// Table is the answer to a query. It has named columns, and each row has a cell
// for each column.
type Table struct {
	columns []string
	rows    [][]string
}

// NewTable returns an empty table.
func NewTable(columns ...string) *Table { return &Table{columns: columns} }

// Add appends a row of one cell for each column.
func (t *Table) Add(cells ...string) { t.rows = append(t.rows, cells) }

// Columns returns the names of the columns.
func (t *Table) Columns() []string { return t.columns }

// Rows returns the rows in the order in which they were added.
func (t *Table) Rows() [][]string { return t.rows }

// Source is a consistent view of a daemon's state, which does not change while a
// query is answered.
type Source interface {
	// Config returns the configuration in force at this daemon.
	Config() *conf.Config
	// Self returns the daemon that answers.
	Self() fleet.Member
	// Entries returns the newest entries of the history, the oldest of them
	// first.
	Entries() []change.Entry
	// Domains returns the failure domains that this daemon knows.
	Domains() []model.Domain
	// LastCoverage returns the coverage last received from another failure domain,
	// and its age. It returns false when none has come, as for the daemon's own
	// domain.
	LastCoverage(model.Domain) (time.Duration, peer.Coverage, bool)
	// Coverage returns the coverage of this daemon: how many daemons of its
	// failure domain have confirmed a revision to it, and the lowest of these
	// revisions. At a watcher it counts all daemons of the domain that answer.
	Coverage() peer.Coverage
	// IsWatcher reports whether this daemon is a watcher.
	IsWatcher() bool
	// Members returns the daemons that this daemon knows.
	Members() []fleet.Member
	// Served returns how many requests of an organisation this daemon served,
	// and how many it refused by reason.
	Served(org model.Org) Count
	// Quotas returns the state of every organisation's quota at this daemon.
	Quotas() []quota.State
	// Rollouts returns the orders of rollouts in force and their states.
	Rollouts() []canary.Status
	// Trace returns the trace of a request: this daemon's decisions about it,
	// one a line.
	Trace(id model.Request) []string
	// Decide returns the decisions that a request would meet at this daemon now.
	Decide(q Where) []Decision
}

// Count is the number of requests of one organisation that a daemon served and
// refused.
type Count struct {
	served  uint64
	refused map[string]uint64
}

// NewCount returns a count. The keys of refused are names of reasons.
func NewCount(served uint64, refused map[string]uint64) Count {
	return Count{served: served, refused: refused}
}

// Answer returns the answer to a query.
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
	case Shares:
		return answerShares(s)
	case Rollouts:
		return answerRollouts(s)
	case InForce:
		return answerForce(s)
	case History:
		return answerHistory(s)
	case Explain:
		return answerExplain(s, q)
	case Where:
		return answerWhere(s, q)
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
		t.Add(string(m.Name()), string(m.Domain()), string(m.Service()), targetState(s.Config(), m))
	}
	return t
}

func targetState(c *conf.Config, m fleet.Member) string {
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
		count := s.Served(name)
		t.Add(string(name), fmt.Sprint(count.served), "", "")
		for _, r := range model.Reasons() {
			if refused := count.refused[model.ReasonName(r)]; refused > 0 {
				t.Add(string(name), "", model.ReasonName(r), fmt.Sprint(refused))
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
