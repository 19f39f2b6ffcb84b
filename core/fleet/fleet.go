// Package fleet is the membership: which daemons there are, and which target
// stands beside each.
package fleet

import "anvilstand/core/model"

// Member is a daemon and the target beside it.
type Member struct {
	name    model.Instance
	domain  model.Domain
	service model.Service
	address string
	leaving bool
	born    model.Incarnation
}

// NewMember returns a member that listens for its peers at address.
func NewMember(name model.Instance, domain model.Domain, service model.Service, address string) Member {
	return Member{name: name, domain: domain, service: service, address: address}
}

// Name returns the instance's name.
func (m Member) Name() model.Instance { return m.name }

// Domain returns the failure domain the instance is in.
func (m Member) Domain() model.Domain { return m.domain }

// Service returns the service that the target belongs to.
func (m Member) Service() model.Service { return m.service }

// Address returns where the daemon listens for its peers, as host:port.
func (m Member) Address() string { return m.address }

// Leaving reports whether the member is in its planned stop.
func (m Member) Leaving() bool { return m.leaving }

// Incarnation returns the process that announced the member.
func (m Member) Incarnation() model.Incarnation { return m.born }

// WithIncarnation returns the member as announced by a process.
func (m Member) WithIncarnation(i model.Incarnation) Member {
	m.born = i
	return m
}

// AsLeaving returns the member marked as leaving.
func (m Member) AsLeaving() Member {
	m.leaving = true
	return m
}

// Roster is the set of members known, a roll a failure domain. The zero value
// is empty. A Roster is not safe for concurrent use; Members returns a copy.
type Roster struct {
	rolls map[model.Domain]Roll
	names map[model.Instance]Member
	dead  map[model.Incarnation]bool
	order map[model.Domain][]Member
	count uint64
}
