package oper

import (
	"time"

	"anvilstand/core/canary"
	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/query"
	"anvilstand/core/quota"
	"anvilstand/io/ctrl"
	"anvilstand/io/meter"
)

// source is the query.Source of one query: a view of the control state, the
// counters and the traces.
type source struct {
	view  *ctrl.View
	meter *meter.Meter
	trace func(model.Request) []string
	where func(query.Where) []query.Decision
}

// Config returns the configuration in force at this daemon.
func (s source) Config() *conf.Config { return s.view.Config() }

// Self returns this daemon as a member of the fleet.
func (s source) Self() fleet.Member { return s.view.Self() }

// Entries returns the newest entries of the history, the oldest of them first.
func (s source) Entries() []change.Entry { return s.view.Entries() }

// Domains returns the failure domains that this daemon knows.
func (s source) Domains() []model.Domain { return s.view.Domains() }

// LastCoverage returns the coverage last received from another failure domain and
// the time since then, false if none has been received.
func (s source) LastCoverage(d model.Domain) (time.Duration, peer.Coverage, bool) {
	return s.view.LastCoverage(d)
}

// Coverage returns the coverage of this daemon, which at a watcher counts all
// daemons of the failure domain that answer.
func (s source) Coverage() peer.Coverage { return s.view.Coverage() }

// IsWatcher reports whether this daemon is a watcher of its failure domain.
func (s source) IsWatcher() bool {
	_, ok := s.view.WatcherIndex()
	return ok
}

// Members returns all daemons that this one knows.
func (s source) Members() []fleet.Member { return s.view.Members() }

// Served returns the requests of an organisation that this daemon served and
// refused.
func (s source) Served(org model.Org) query.Count { return s.meter.Counts(org) }

// Quotas returns the state of every organisation's quota at this daemon.
func (s source) Quotas() []quota.State { return s.view.Quotas() }

// Rollouts returns the orders of rollouts in force and their states.
func (s source) Rollouts() []canary.Status { return s.view.Rollouts() }

// Trace returns this daemon's decisions about a request, one per line.
func (s source) Trace(id model.Request) []string { return s.trace(id) }

// Decide returns the decisions that a request would meet at this daemon now.
func (s source) Decide(q query.Where) []query.Decision { return s.where(q) }
