package quota

import (
	"maps"
	"slices"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// setMembers splits the living members into those of this daemon's domain and
// the others, and notes when they changed. A domain whose members are all
// leaving still counts.
func (mgr *Manager) setMembers(now model.Instant, members []fleet.Member) {
	var own, others []fleet.Member
	var domains []model.Domain
	for _, m := range members {
		domains = append(domains, m.Domain())
		if m.Domain() == mgr.domain && !m.Leaving() {
			own = append(own, m)
		}
		if m.Domain() != mgr.domain && !m.Leaving() {
			others = append(others, m)
		}
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	mgr.others = others
	mgr.prunePeers()
	if slices.Equal(own, mgr.members) && slices.Equal(domains, mgr.domains) {
		mgr.reindex()
		return
	}
	if !slices.Equal(domains, mgr.domains) {
		mgr.domainsChanged = now
	}
	if mgr.firstMembers == 0 {
		mgr.firstMembers = now
	}
	mgr.members, mgr.domains, mgr.membersChanged = own, domains, now
	mgr.noteListed(now)
	mgr.reindex()
}

// noteListed records when this daemon was first found in its domain's list.
func (mgr *Manager) noteListed(now model.Instant) {
	switch {
	case !mgr.isListed():
		mgr.listedSince = 0
	case mgr.listedSince == 0:
		mgr.listedSince = now
	}
}

// reindex recomputes for each organisation the places of this daemon and of its
// domain, and the contenders for the lease held here.
func (mgr *Manager) reindex() {
	for _, name := range mgr.orgs {
		q := mgr.quotas[name]
		q.memberIndex, q.domainIndex = mgr.memberIndexOf(name), mgr.domainIndexOf(name)
		if q.held != nil {
			q.contenders = mgr.contendersOf(q)
		}
	}
}

// MarkEnded records the proof that a process has ended, so that its leases may
// be claimed at once. It is not taken back: a new process at the address has
// another incarnation.
func (mgr *Manager) MarkEnded(incarnation model.Incarnation) {
	if incarnation == 0 || incarnation == mgr.self.incarnation || mgr.ended[incarnation] {
		return
	}
	if len(mgr.ended) >= maxEnded {
		mgr.pruneEnded()
	}
	mgr.ended[incarnation] = true
	mgr.reindex()
}

// pruneEnded drops the ended processes that no lease and no member refers to.
func (mgr *Manager) pruneEnded() {
	inUse := map[model.Incarnation]bool{}
	for _, m := range mgr.members {
		inUse[m.Incarnation()] = true
	}
	for _, q := range mgr.quotas {
		for _, lease := range q.record.leases {
			inUse[lease.holder.incarnation] = true
		}
	}
	maps.DeleteFunc(mgr.ended, func(incarnation model.Incarnation, _ bool) bool { return !inUse[incarnation] })
}
