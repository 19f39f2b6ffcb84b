// Package fleet keeps a daemon's view of the membership: the daemons of all
// failure domains, and the target beside each of them. It decides which of them
// may take new work, and their rendezvous order. How member lists are spread is
// decided in package gossip.
package fleet

import "anvilstand/core/model"

// Member is a daemon and the target beside it. Its name is that of the instance.
type Member struct {
	name        model.Instance
	domain      model.Domain
	service     model.Service
	address     string // host:port
	leaving     bool
	incarnation model.Incarnation
	version     string // of the target
}

// NewMember returns a member that listens for its peers at address (host:port).
func NewMember(name model.Instance, domain model.Domain, service model.Service, address string) Member {
	return Member{name: name, domain: domain, service: service, address: address}
}

// Name returns the name of the instance.
func (m Member) Name() model.Instance { return m.name }

// Domain returns the failure domain the instance is in.
func (m Member) Domain() model.Domain { return m.domain }

// Service returns the service that the target belongs to.
func (m Member) Service() model.Service { return m.service }

// Address returns where the daemon listens for its peers, as host:port.
func (m Member) Address() string { return m.address }

// Leaving reports whether the member is shutting down as planned.
func (m Member) Leaving() bool { return m.leaving }

// Incarnation returns the incarnation of the process that announced the member.
func (m Member) Incarnation() model.Incarnation { return m.incarnation }

// WithIncarnation returns the member as announced by process i.
func (m Member) WithIncarnation(i model.Incarnation) Member {
	m.incarnation = i
	return m
}

// Version returns the version of the target beside the daemon. It is empty if the target
// reports none, has not reported yet, or the daemon is of an earlier build.
func (m Member) Version() string { return m.version }

// WithVersion returns the member with the version of its target.
func (m Member) WithVersion(v string) Member {
	m.version = v
	return m
}

// AsLeaving returns the member marked as leaving.
func (m Member) AsLeaving() Member {
	m.leaving = true
	return m
}

// Membership is the set of known members, with one list for each failure
// domain. The zero value is empty. It is not safe for concurrent use; Members
// returns a copy.
type Membership struct {
	lists   map[model.Domain]MemberList
	byName  map[model.Instance]Member // without processes that have ended
	ended   map[model.Incarnation]bool
	refused map[model.Incarnation]model.Instant // until when the process is left out
	ordered map[model.Domain][]Member           // cache of RendezvousOrder
	changes uint64
}
