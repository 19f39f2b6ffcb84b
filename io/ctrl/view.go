// Package ctrl runs the control state of a daemon: configuration, membership,
// quota leases and crash reports. One goroutine owns it and handles commands one
// by one. It publishes an immutable View for the goroutines that serve traffic,
// and shares with them only SharedTokenCache, SharedExposure and SharedCrashes. What a command changes is
// decided in core/gossip, core/quota and core/crash; io/watch makes the store
// calls and io/link carries the messages.
package ctrl

import (
	"time"

	"anvilstand/core/canary"
	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/gossip"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/quota"
	"anvilstand/io/clock"
)

// View is an immutable copy of the control state.
type View struct {
	replaced         chan struct{} // closed when there is a newer view
	clock            clock.Clock
	madeAt           model.Instant
	self             fleet.Member
	serving          servingState
	entries          []change.Entry
	domains          []model.Domain
	domainCoverages  map[model.Domain]gossip.DomainCoverage // last received from other domains
	listVersions     map[model.Domain]uint64                // of the member lists
	lastOutside      model.Instant                          // last contact with the store or another domain
	freshness        peer.Freshness                         // of a configuration outside, at madeAt
	coverage         peer.Coverage
	watcherIndex     int
	isWatcher        bool
	desiredList      fleet.MemberList
	writeList        bool // desiredList has to be written
	refusedCount     uint64
	snapshotRevision model.Revision
	quotas           []quota.State
	leaseCount       int
	rebuilding       bool // of quota leases
	plans            map[model.Service]canary.Plan
	writes           []canary.Write
	rollouts         []canary.Status
}

func (l *Loop) newView(now model.Instant) *View {
	n := l.node
	v := &View{
		replaced: make(chan struct{}), clock: l.clock, madeAt: now, self: n.Self(), serving: l.serving,
		entries: n.Entries(), domains: n.Membership().Domains(),
		lastOutside: now.Add(-n.IsolatedFor(now)), refusedCount: n.RefusedCount() + l.refusedValues, snapshotRevision: l.snapshotRevision,
		quotas: l.quotas.states, leaseCount: l.quotas.manager.LeaseCount(), rebuilding: l.quotas.manager.IsRebuilding(now),
		domainCoverages: map[model.Domain]gossip.DomainCoverage{}, listVersions: map[model.Domain]uint64{},
	}
	for _, d := range v.domains {
		v.listVersions[d] = n.Membership().MemberList(d).Version()
		if s, ok := n.DomainCoverage(d); ok {
			v.domainCoverages[d] = s
		}
	}
	v.coverage = n.Coverage(now)
	v.freshness = n.Freshness(now)
	v.watcherIndex, v.isWatcher = n.WatcherIndex(now)
	v.desiredList, v.writeList = n.DesiredMemberList(now)
	return v
}

// Self returns this daemon as a member.
func (v *View) Self() fleet.Member { return v.self }

// Config returns the configuration in force at this daemon.
func (v *View) Config() *conf.Config { return v.serving.config }

// Entries returns the newest entries of the configuration history, the oldest
// of them first.
func (v *View) Entries() []change.Entry { return v.entries }

// Members returns the daemons that this daemon knows.
func (v *View) Members() []fleet.Member { return v.serving.members }

// LeftOut returns the members that get no requests, because their process has ended
// or refuses connections.
func (v *View) LeftOut() []fleet.Member { return v.serving.leftOut }

// Serving returns the daemons of a service that take new requests.
func (v *View) Serving(s model.Service) []fleet.Member { return v.serving.byService[s] }

// Domains returns the failure domains that this daemon knows.
func (v *View) Domains() []model.Domain { return v.domains }

// MemberListVersion returns the version of a failure domain's member list that this
// daemon knows, or zero when it knows none.
func (v *View) MemberListVersion(d model.Domain) uint64 { return v.listVersions[d] }

// WatcherIndex returns this daemon's index among the watchers of its failure
// domain, and whether it is one of them.
func (v *View) WatcherIndex() (int, bool) { return v.watcherIndex, v.isWatcher }

// DesiredMemberList returns the member list that the store should have for this daemon's
// failure domain, and whether this daemon should write it. Only a watcher does.
func (v *View) DesiredMemberList() (fleet.MemberList, bool) { return v.desiredList, v.writeList }

// DuplicateNames returns the names that more than one process claims.
func (v *View) DuplicateNames() []model.Instance {
	count := map[model.Instance]int{}
	var names []model.Instance
	for _, m := range v.Members() {
		if count[m.Name()]++; count[m.Name()] == 2 {
			names = append(names, m.Name())
		}
	}
	return names
}

// RefusedCount returns the number of configuration entries, snapshots and stored
// values that were refused or could not be encoded or decoded. The metric
// faults_total is this count.
func (v *View) RefusedCount() uint64 { return v.refusedCount }

// IsolatedFor returns the time since the failure domain last heard from the store
// or from another domain.
func (v *View) IsolatedFor() time.Duration { return v.clock.Now().Sub(v.lastOutside) }

// Freshness returns how recent this daemon's knowledge of a configuration outside of
// anvilstand is, by its own calls or by what other daemons told.
func (v *View) Freshness() peer.Freshness {
	return peer.NewFreshness(v.freshness.Version(), v.freshness.Age()+v.clock.Now().Sub(v.madeAt))
}

// LastCoverage returns the coverage last received from another failure domain, and
// the time since then. It returns false when none has been received.
func (v *View) LastCoverage(d model.Domain) (time.Duration, peer.Coverage, bool) {
	s, ok := v.domainCoverages[d]
	return v.clock.Now().Sub(s.Time()), s.Coverage(), ok
}

// Coverage returns the coverage of this daemon. At a watcher it counts all
// daemons of the failure domain that answer.
func (v *View) Coverage() peer.Coverage { return v.coverage }

// Snapshot returns a snapshot of the configuration in force and its newest
// entries. It is meaningful only if the configuration comes from the history.
func (v *View) Snapshot() change.Snapshot {
	entries := v.entries[max(0, len(v.entries)-change.MaxEntries):]
	return change.NewSnapshot(v.Config().Revision(), change.Describe(v.Config()), entries)
}

// SnapshotRevision returns the revision of the newest snapshot known to be in the store.
func (v *View) SnapshotRevision() model.Revision { return v.snapshotRevision }

// RefusesIsolated reports whether requests of an organisation must be refused because
// the failure domain has been isolated for longer than limit. It is false for
// an unknown organisation.
func (v *View) RefusesIsolated(org model.Org, limit time.Duration) bool {
	o, ok := v.Config().Org(org)
	if !ok {
		return false
	}
	switch o.IsolationRule().(type) {
	case conf.Deny:
		return v.IsolatedFor() > limit
	case conf.Serve:
		return false
	}
	return false
}

// Quotas returns the state of every organisation's quota, as of the last gossip
// tick.
func (v *View) Quotas() []quota.State { return v.quotas }

// LeaseCount returns the number of quota leases whose bucket this daemon has,
// expired ones included.
func (v *View) LeaseCount() int { return v.leaseCount }

// IsRebuilding reports whether the store was restored shortly before, so that quota
// leases may still be missing in it. It is as of the last gossip tick or command.
func (v *View) IsRebuilding() bool { return v.rebuilding }
