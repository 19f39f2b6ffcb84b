// Package change implements the operators' commands: it parses and formats
// changes of the configuration, applies them, and keeps the history of applied
// changes. It decides whether a change applies and to what configuration it
// leads. Commands are received in package oper, committed to the store in package
// watch, and distributed in package gossip.
package change

import (
	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// Change is one change of the configuration. Its fields are names and values as
// an operator writes them; whether it applies is decided in Apply.
//
//sumtype:decl
type Change interface{ isChange() }

// AddOrg creates an organisation.
type AddOrg struct {
	name model.Org
	org  conf.Org
}

// SetOrg changes those properties of an organisation that are not nil.
type SetOrg struct {
	name          model.Org
	rate          *float64
	burst         *float64
	rank          *model.Rank
	isolationRule conf.IsolationRule
}

// DropOrg deletes an organisation and its keys.
type DropOrg struct{ name model.Org }

// Grant gives a key to an organisation.
type Grant struct {
	org model.Org
	key conf.Digest
}

// Withdraw takes a key away from the organisation that holds it.
type Withdraw struct{ key conf.Digest }

// AddService creates a service without routes. If it exists, nothing changes.
type AddService struct{ name model.Service }

// DropService deletes a service and its routes.
type DropService struct{ name model.Service }

// PutRoute creates a route or replaces the one with the same method and prefix.
type PutRoute struct {
	service model.Service
	route   conf.Route
}

// DropRoute deletes the route with the same method and prefix, if there is one.
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
