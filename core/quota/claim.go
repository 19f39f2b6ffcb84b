package quota

import (
	"slices"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// seekLease claims the lease of this daemon's domain when nobody holds it:
// there is none yet, its holder resigned, its process is proven to have ended,
// or its holder left a challenge unanswered for the lifetime of a lease. A
// daemon that is no candidate claims only while its own requests need tokens.
func (mgr *Manager) seekLease(now model.Instant, q *orgQuota, lease Lease, exists bool, out *Outbox) {
	if q.memberIndex >= maxCandidates && now.Sub(q.lastRefill) > avoidanceTime {
		return
	}
	if !exists {
		mgr.claimNew(now, q, out)
		return
	}
	// This process listens at the holder's address, so the holder has ended.
	if lease.holder.address == mgr.self.address {
		mgr.MarkEnded(lease.holder.incarnation)
	}
	if lease.holder.incarnation != 0 && !mgr.ended[lease.holder.incarnation] {
		q.vacantSince = 0
		mgr.challengeHolder(now, q, lease, out)
		return
	}
	if mgr.isTurn(now, q, lease.holder.address == mgr.self.address) {
		var origin Origin = Vacated{}
		if lease.holder.incarnation != 0 {
			origin = Ended{}
		}
		mgr.takeOver(now, q, lease, origin, out)
	}
}

// isTurn reports whether it is this daemon's turn to claim a vacant or missing
// lease: each further candidate waits candidateStep longer. A process at the
// address of the previous holder need not wait.
func (mgr *Manager) isTurn(now model.Instant, q *orgQuota, sameAddress bool) bool {
	if q.vacantSince == 0 {
		q.vacantSince = now
	}
	var delay time.Duration
	if mgr.hasSuccessor(q) {
		delay = time.Duration(min(q.domainIndex, maxTakeOverSteps)) * takeOverStep
	}
	if sameAddress {
		return now.Sub(q.vacantSince) >= delay
	}
	delay += time.Duration(min(q.memberIndex, maxCandidates)) * candidateStep
	if mgr.hasSuccessor(q) {
		delay += successorHeadStart + time.Duration(min(mgr.rankOf(q.org), maxRank))*rankStep
	}
	return now.Sub(q.vacantSince) >= delay
}

// hasSuccessor reports whether the holder of the domain's lease has ended. The proof is
// that another process answers at its address, which takes the lease over.
func (mgr *Manager) hasSuccessor(q *orgQuota) bool {
	lease, _ := q.record.Lease(mgr.domain)
	return mgr.ended[lease.holder.incarnation]
}

// areMembersStable reports whether the members have been unchanged for long
// enough. While requests of the organisation need tokens it does not wait for
// that.
func (mgr *Manager) areMembersStable(now model.Instant, q *orgQuota) bool {
	if q.lastRefill != 0 && now.Sub(q.lastRefill) < avoidanceTime {
		return true
	}
	return now.Sub(mgr.membersChanged) >= membersStableTime || now.Sub(mgr.firstMembers) >= maxMembersStableWait
}

// isListed reports whether this daemon is among the members of its domain. Until then it
// knows few others and takes itself for the first candidate.
func (mgr *Manager) isListed() bool {
	return slices.ContainsFunc(mgr.members, func(m fleet.Member) bool { return m.Incarnation() == mgr.self.incarnation })
}

// claimNew claims a lease for a domain without one.
func (mgr *Manager) claimNew(now model.Instant, q *orgQuota, out *Outbox) {
	if !mgr.areMembersStable(now, q) {
		return
	}
	if !mgr.isListed() && now.Sub(mgr.firstMembers) < maxListingWait {
		return
	}
	weight := min(mgr.targetWeight(q), q.record.Free())
	if model.RevisionOf(q.version) == 0 {
		weight = mgr.targetWeight(q)
	}
	if now.Sub(mgr.domainsChanged) < domainsStableTime {
		return
	}
	if weight == 0 {
		if q.memberIndex < maxCandidates {
			mgr.idleRead(now, q, out)
		}
		return
	}
	if now.Sub(mgr.domainsChanged) < domainsStableTime+time.Duration(q.domainIndex)*domainStep || !mgr.isTurn(now, q, false) {
		return
	}
	next := q.record
	if model.RevisionOf(q.version) == 0 {
		next = Record{}
	}
	unheld := min(weight, q.neverHeld())
	next.neverHeld = q.neverHeld() - unheld
	pending := pendingSwap{initialTokens: q.part(q.burst, unheld), origin: Created{}}
	mgr.swap(now, q, next.with(NewLease(mgr.domain, mgr.self, weight, 0, false).AsRenewable()), pending, out)
}

// takeOver takes over a lease that is vacant, whose holder has ended, or whose
// holder's time has run out. Tokens that the last holder may have issued count
// as outstanding until they have expired. Only one that resigned left some behind, which
// may be spent if the store was restored since.
func (mgr *Manager) takeOver(now model.Instant, q *orgQuota, lease Lease, origin Origin, out *Outbox) {
	limit := q.part(q.burst, lease.weight)
	pending := pendingSwap{origin: origin, predecessor: lease.holder}
	if lease.holder.incarnation == 0 && !q.isOfCopy() {
		pending.initialTokens = lease.level
	}
	pending.assumed = mgr.assumeOutstanding(q, lease.weight, limit-pending.initialTokens)
	mgr.swap(now, q, q.record.with(NewLease(mgr.domain, mgr.self, lease.weight, 0, false).AsRenewable()), pending, out)
}

// challengeHolder watches the holder of the domain's lease. After a silence it writes a
// challenge to the record, which a living holder removes. A challenge stops the store from
// renewing the lease (see renew), and the silence the contenders, so that the lease lapses
// and is taken over.
func (mgr *Manager) challengeHolder(now model.Instant, q *orgQuota, lease Lease, out *Outbox) {
	mgr.pollSilentHolder(now, q, lease, out)
	if !lease.challenged {
		if mgr.mayChallenge(now, q, lease) {
			lease = lease.WithChallenge(model.RevisionOf(q.nextSerial()))
			mgr.swap(now, q, q.record.with(lease), pendingSwap{}, out)
		}
		return
	}
	if q.challengedSince == 0 {
		q.challengedSince = now
	}
	if now.Sub(q.challengedSince) >= model.WithDrift(mgr.leaseTTL) {
		mgr.takeOver(now, q, lease, Expired{}, out)
		return
	}
	if mgr.hasLapsed(now, q, lease) {
		mgr.takeOverLapsed(now, q, lease, out)
		return
	}
	q.lapsedSince = 0
	if !lease.renewable || mgr.holderSilence(now, q, lease.holder) < challengeAfter {
		mgr.pollRecord(now, q, out)
	}
}

// pollSilentHolder asks the holder for an answer if it has not been heard from for a while,
// or has last answered that it grants nothing.
func (mgr *Manager) pollSilentHolder(now model.Instant, q *orgQuota, lease Lease, out *Outbox) {
	interval := pollInterval
	p := mgr.peers[lease.holder.address]
	if p.incarnation == lease.holder.incarnation && now.Sub(p.heardAt) < silentAfter {
		q.refuted = 0
		if q.deniedSince == 0 {
			return
		}
	} else if mgr.holderSilence(now, q, lease.holder) >= silentAfter {
		interval = silentPollInterval
	}
	if now.Sub(q.lastPoll) < interval || (q.memberIndex >= maxCandidates && !mgr.isContender(q, lease.holder)) {
		return
	}
	q.lastPoll = now
	mgr.pollHolder(now, q, lease, out)
}

// mayChallenge reports whether the holder has granted nothing for long enough, and it is this
// daemon's turn to write a challenge.
func (mgr *Manager) mayChallenge(now model.Instant, q *orgQuota, lease Lease) bool {
	elapsed := mgr.unservedTime(now, q, lease)
	wait := challengeAfter << min(q.refuted, maxChallengeDoublings)
	if elapsed < wait || !mgr.isContender(q, lease.holder) {
		return false
	}
	return elapsed >= wait+time.Duration(mgr.contenderIndex(q.org, lease.holder))*contenderStep
}

// unservedTime returns for how long the holder has not answered asks, or has answered them
// without a grant.
func (mgr *Manager) unservedTime(now model.Instant, q *orgQuota, lease Lease) time.Duration {
	var d time.Duration
	if q.deniedSince != 0 {
		d = now.Sub(q.deniedSince)
	}
	s := q.holders[lease.domain]
	if s.incarnation == lease.holder.incarnation && s.unanswered >= minUnanswered {
		d = max(d, mgr.holderSilence(now, q, lease.holder))
	}
	return d
}
