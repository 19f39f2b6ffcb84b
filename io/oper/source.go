package oper

import (
	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/query"
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

// Members returns the daemons known.
func (s source) Members() []fleet.Member { return s.view.Members() }

// Served returns what was served and refused here.
func (s source) Served(org model.Org) query.Count { return s.meter.Count(org) }

// Trace returns what was decided here about a request.
func (s source) Trace(id model.Request) []string { return s.trace(id) }
