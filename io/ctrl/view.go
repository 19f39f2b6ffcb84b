// Package ctrl holds the control state of a daemon. One goroutine owns it,
// takes commands one by one, and publishes an immutable View that the traffic
// goroutines read.
package ctrl

import (
	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// View is a snapshot of the control state. It is never changed.
type View struct {
	self      fleet.Member
	config    *conf.Config
	members   []fleet.Member
	byService map[model.Service][]fleet.Member
}

// Self returns this daemon's own member.
func (v *View) Self() fleet.Member { return v.self }

// Config returns the configuration in force here.
func (v *View) Config() *conf.Config { return v.config }

// Members returns all daemons known.
func (v *View) Members() []fleet.Member { return v.members }

// Serving returns the daemons of a service that take new work.
func (v *View) Serving(s model.Service) []fleet.Member { return v.byService[s] }
