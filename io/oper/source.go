package oper

import (
	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/query"
	"anvilstand/core/share"
	"anvilstand/io/ctrl"
	"anvilstand/io/meter"
)

// source answers queries from a view and the counters.
type source struct {
	view  *ctrl.View
	meter *meter.Meter
}

// Config returns the configuration in force here.
func (s source) Config() *conf.Config { return s.view.Config() }

// Members returns the daemons known.
func (s source) Members() []fleet.Member { return s.view.Members() }

// Served returns what was served and refused here.
func (s source) Served(org model.Org) query.Count { return s.meter.Count(org) }

// Shares returns the state of the shares here.
func (s source) Shares() []share.State { return s.view.Shares() }

// Trace returns nothing yet: requests are not recorded.
func (s source) Trace(model.Request) []string { return nil }
