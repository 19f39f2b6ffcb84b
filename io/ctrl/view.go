// Package ctrl holds the control state of a daemon. One goroutine owns it,
// takes commands one by one, and publishes an immutable View that the traffic
// goroutines read.
package ctrl

import (
	"time"

	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/crash"
	"anvilstand/core/fleet"
	"anvilstand/core/gossip"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/quota"
	"anvilstand/io/clock"
)

// View is a snapshot of the control state. It is never changed.
type View struct {
	changed  chan struct{}
	clock    clock.Clock
	when     model.Instant
	self     fleet.Member
	routes   routes
	entries  []change.Entry
	domains  []model.Domain
	heard    map[model.Domain]gossip.DomainStatus
	rolls    map[model.Domain]uint64
	outside  model.Instant
	covered  peer.Coverage
	rank     int
	watching bool
	record   fleet.MemberList
	stale    bool
	faults   uint64
	written  model.Revision
	shares   []quota.State
	titles   int
	crash    *crash.Tracker
}

func (l *Loop) snapshot(now model.Instant) *View {
	n := l.node
	v := &View{
		changed: make(chan struct{}), clock: l.clock, when: now, self: n.Self(), routes: l.routes,
		entries: n.Entries(), domains: n.Membership().Domains(),
		outside: now.Add(-n.IsolatedFor(now)), faults: n.Faults() + l.refused, written: l.written,
		shares: l.shares.states, titles: l.shares.desk.LeaseCount(), crash: l.crash,
		heard: map[model.Domain]gossip.DomainStatus{}, rolls: map[model.Domain]uint64{},
	}
	for _, d := range v.domains {
		v.rolls[d] = n.Membership().MemberList(d).Version()
		if h, ok := n.DomainStatus(d); ok {
			v.heard[d] = h
		}
	}
	v.covered = n.Coverage(now)
	v.rank, v.watching = n.WatcherIndex(now)
	v.record, v.stale = n.DesiredMemberList(now)
	return v
}

// Self returns this daemon's own member.
func (v *View) Self() fleet.Member { return v.self }

// Config returns the configuration in force here.
func (v *View) Config() *conf.Config { return v.routes.config }

// Entries returns the newest changes that led to the configuration, the oldest
// first.
func (v *View) Entries() []change.Entry { return v.entries }

// Members returns all daemons known.
func (v *View) Members() []fleet.Member { return v.routes.members }

// Serving returns the daemons of a service that take new work.
func (v *View) Serving(s model.Service) []fleet.Member { return v.routes.byService[s] }

// Domains returns the failure domains that have members.
func (v *View) Domains() []model.Domain { return v.domains }

// Version returns the version of a failure domain's record that is known here.
func (v *View) Version(d model.Domain) uint64 { return v.rolls[d] }

// Watching returns the daemon's place among the watchers of its failure domain,
// and whether it is one.
func (v *View) Watching() (int, bool) { return v.rank, v.watching }

// Record returns what the record of the own failure domain should be, and
// whether it must be written.
func (v *View) Record() (fleet.MemberList, bool) { return v.record, v.stale }

// Doubled returns the names that more than one process claims.
func (v *View) Doubled() []model.Instance {
	seen := map[model.Instance]int{}
	var names []model.Instance
	for _, m := range v.Members() {
		if seen[m.Name()]++; seen[m.Name()] == 2 {
			names = append(names, m.Name())
		}
	}
	return names
}

// Faults returns how many changes and records were refused.
func (v *View) Faults() uint64 { return v.faults }

// Outside returns how long ago the failure domain heard from the store or from
// another domain.
func (v *View) Outside() time.Duration { return v.clock.Now().Sub(v.outside) }

// Heard returns how long ago another failure domain was heard here, and how many
// of its daemons had then confirmed which revision.
func (v *View) Heard(d model.Domain) (time.Duration, peer.Coverage, bool) {
	h, ok := v.heard[d]
	return v.clock.Now().Sub(h.Time()), h.Coverage(), ok
}

// Covered returns the daemons of the own failure domain that have confirmed to
// this one.
func (v *View) Covered() peer.Coverage { return v.covered }

// Base returns the configuration as a base.
func (v *View) Base() change.Snapshot {
	tail := v.entries[max(0, len(v.entries)-change.MaxEntries):]
	return change.NewSnapshot(v.Config().Revision(), change.Describe(v.Config()), tail)
}

// Written returns the revision of the newest base known to be in the store.
func (v *View) Written() model.Revision { return v.written }

// Isolated reports whether an organisation is to be refused because the failure
// domain has been cut off for longer than limit.
func (v *View) Isolated(org model.Org, limit time.Duration) bool {
	o, ok := v.Config().Org(org)
	if !ok {
		return false
	}
	switch o.IsolationRule().(type) {
	case conf.Deny:
		return v.Outside() > limit
	case conf.Serve:
		return false
	}
	return false
}

// Shares returns the state of every organisation's share, as of the last tick.
func (v *View) Shares() []quota.State { return v.shares }

// Titles returns the number of titles that this daemon holds.
func (v *View) Titles() int { return v.titles }
