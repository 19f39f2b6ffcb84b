package oper

import (
	"time"

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

// source answers queries from a view and the counters.
type source struct {
	view  *ctrl.View
	meter *meter.Meter
	trace func(model.Request) []string
}

// Config returns the configuration in force here.
func (s source) Config() *conf.Config { return s.view.Config() }

// Self returns this daemon.
func (s source) Self() fleet.Member { return s.view.Self() }

// Entries returns the newest changes.
func (s source) Entries() []change.Entry { return s.view.Entries() }

// Domains returns the failure domains known.
func (s source) Domains() []model.Domain { return s.view.Domains() }

// LastHeard returns what was last heard of another failure domain.
func (s source) LastHeard(d model.Domain) (time.Duration, peer.Coverage, bool) {
	return s.view.Heard(d)
}

// Covered returns the daemons of the own failure domain that have confirmed.
func (s source) Covered() peer.Coverage { return s.view.Covered() }

// Watching reports whether this daemon is a watcher.
func (s source) Watching() bool {
	_, ok := s.view.Watching()
	return ok
}

// Members returns the daemons known.
func (s source) Members() []fleet.Member { return s.view.Members() }

// Served returns what was served and refused here.
func (s source) Served(org model.Org) query.Count { return s.meter.Count(org) }

// Shares returns the state of the shares here.
func (s source) Shares() []quota.State { return s.view.Shares() }

// Trace returns what was decided here about a request.
func (s source) Trace(id model.Request) []string { return s.trace(id) }
