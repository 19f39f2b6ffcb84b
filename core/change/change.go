// Package change holds the commands of the operators' language: the changes of
// the configuration, how they read, and what they do.
package change

import (
	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// Change is one change of the configuration.
//
//sumtype:decl
type Change interface{ isChange() }

// AddOrg creates an organisation.
type AddOrg struct {
	name model.Org
	org  conf.Org
}

// SetOrg changes the named parts of an organisation.
type SetOrg struct {
	name     model.Org
	rate     *float64
	burst    *float64
	rank     *model.Rank
	isolated conf.Isolated
}

// DropOrg deletes an organisation and its keys.
type DropOrg struct{ name model.Org }

// Grant gives an organisation a key.
type Grant struct {
	org model.Org
	key conf.Digest
}

// Withdraw takes a key away.
type Withdraw struct{ key conf.Digest }

// AddService creates a service.
type AddService struct{ name model.Service }

// DropService deletes a service and its routes.
type DropService struct{ name model.Service }

// PutRoute creates or replaces a route.
type PutRoute struct {
	service model.Service
	route   conf.Route
}

// DropRoute deletes a route.
type DropRoute struct {
	service model.Service
	route   conf.Route
}

// SetDomain takes a failure domain out of service or brings it back.
type SetDomain struct {
	name model.Domain
	out  bool
}

// SetTarget takes a target out of service or brings it back.
type SetTarget struct {
	name model.Instance
	out  bool
}

func (AddOrg) isChange()      {}
func (SetOrg) isChange()      {}
func (DropOrg) isChange()     {}
func (Grant) isChange()       {}
func (Withdraw) isChange()    {}
func (AddService) isChange()  {}
func (DropService) isChange() {}
func (PutRoute) isChange()    {}
func (DropRoute) isChange()   {}
func (SetDomain) isChange()   {}
func (SetTarget) isChange()   {}
