package share

import (
	"time"

	"anvilstand/core/model"
)

// handleAsk answers an ask out of the own pot. A holder whose title has run out
// finds it here, after any pause.
func (mgr *Desk) handleAsk(now model.Instant, q *quota, m Ask, out *Outbox) {
	if m.to == mgr.self.incarnation && q.held != nil {
		for _, u := range m.usage {
			q.held.bucket.Report(now, u)
		}
	}
	if m.seq == 0 && m.to == mgr.self.incarnation {
		return
	}
	if (m.to != 0 && m.to != mgr.self.incarnation) || !mgr.isLeaseValid(now, q) {
		mgr.send(now, m.from, NewKnown(q.org, m.seq, mgr.self, q.version, q.record), out)
		return
	}
	var g IssuedBatch
	if m.onDemand {
		q.held.bucket.IssueOnDemand(now, m.want, &g)
	} else {
		q.held.bucket.Issue(now, m.want, &g)
	}
	mgr.send(now, m.from, NewGrant(q.org, m.seq, mgr.domain, mgr.self, g.id, g.tokens, q.held.bucket.Level()), out)
	if m.version < q.version {
		mgr.send(now, m.from, NewKnown(q.org, 0, mgr.self, q.version, q.record), out)
	}
}

// maintain keeps or seeks the title of the own domain, with one store call at a
// time.
func (mgr *Desk) maintain(now model.Instant, q *quota, out *Outbox) {
	if q.call.op != 0 && now.Sub(q.call.sentAt) < storeCallTimeout {
		return
	}
	q.call = storeCall{}
	if now.Before(q.nextCall) {
		return
	}
	if q.claimUncertain {
		mgr.read(now, q, out)
		return
	}
	if !q.known {
		mgr.discoverRecord(now, q, out)
		return
	}
	lease, ok := q.record.Title(mgr.domain)
	switch {
	case ok && lease.holder.incarnation == mgr.self.incarnation && mgr.leaving:
		mgr.vacate(now, q, lease, out)
	case mgr.leaving:
	case ok && lease.holder.incarnation == mgr.self.incarnation:
		mgr.maintainOwn(now, q, lease, out)
	default:
		mgr.seekLease(now, q, lease, ok, out)
	}
}

// discoverRecord reads a record that is not known, when this daemon may have to claim
// a title or when no peer could tell.
func (mgr *Desk) discoverRecord(now model.Instant, q *quota, out *Outbox) {
	if mgr.leaving || len(mgr.members) == 0 || !mgr.areMembersStable(now, q) {
		return
	}
	if q.memberIndex < maxCandidates || q.recordlessRounds > 1 {
		delay := time.Duration(min(q.memberIndex, maxCandidates))*candidateStep + time.Duration(q.domainIndex)*domainStep
		if now.Sub(mgr.domainsChanged) >= delay {
			mgr.read(now, q, out)
		}
	}
}

// maintainOwn renews the own title, and moves its weight towards the target.
func (mgr *Desk) maintainOwn(now model.Instant, q *quota, lease Title, out *Outbox) {
	if lease.challenged {
		lease.challenged = false
		mgr.swap(now, q, q.record.with(lease), claim{}, out)
		return
	}
	if q.held == nil || now.Sub(q.held.confirmedAt) >= mgr.leaseTTL/renewalsPerTTL {
		mgr.read(now, q, out)
		return
	}
	if now.Sub(mgr.domainsChanged) < domainsStableTime {
		return
	}
	target := mgr.targetWeight(q)
	switch {
	case target < lease.weight:
		mgr.lowerWeight(now, q, lease, target, out)
	case target > lease.weight && q.record.Free() > 0:
		mgr.raiseWeight(now, q, lease, min(target-lease.weight, q.record.Free()), out)
	case q.held.weight < lease.weight:
		// A lowering that may still be under way is overtaken first.
		mgr.swap(now, q, q.record, claim{}, out)
	default:
		mgr.clear(now, q, out)
	}
}

// lowerWeight gives up weight: here first, then, once no more is outstanding than
// the rest allows, in the record.
func (mgr *Desk) lowerWeight(now model.Instant, q *quota, lease Title, target int, out *Outbox) {
	q.setWeight(now, target)
	if q.held.bucket.Outstanding() > q.held.bucket.Cap() {
		return
	}
	next := q.record.without(mgr.domain)
	if lease.weight = target; target > 0 {
		next = next.with(lease)
	}
	mgr.swap(now, q, next, claim{}, out)
}

// raiseWeight claims free weight for the own title.
func (mgr *Desk) raiseWeight(now model.Instant, q *quota, lease Title, gain int, out *Outbox) {
	next := q.record
	unheld := min(gain, next.neverHeld)
	next.neverHeld -= unheld
	lease.weight += gain
	mgr.swap(now, q, next.with(lease), claim{addedTokens: q.part(q.burst, unheld)}, out)
}

// clear frees the weight of a domain that has a dead holder and no member. The
// title is left vacant for as long as lumps may be out before it goes.
func (mgr *Desk) clear(now model.Instant, q *quota, out *Outbox) {
	for _, lease := range q.record.leases {
		if lease.domain == mgr.domain || mgr.hasMembers(lease.domain) {
			continue
		}
		if mgr.dead[lease.holder.incarnation] {
			lease.holder, lease.level = Holder{}, 0
			mgr.swap(now, q, q.record.with(lease), claim{}, out)
			return
		}
		if lease.holder.incarnation != 0 {
			continue
		}
		if q.vacantSince == 0 {
			q.vacantSince = now
		}
		if now.Sub(q.vacantSince) >= model.Guard(Life) {
			q.vacantSince = 0
			mgr.swap(now, q, q.record.without(lease.domain), claim{}, out)
			return
		}
	}
}

func (mgr *Desk) hasMembers(domain model.Domain) bool {
	for _, name := range mgr.domains {
		if name == domain {
			return true
		}
	}
	return false
}

// vacate leaves the own title vacant, with the tokens that are in the pot.
func (mgr *Desk) vacate(now model.Instant, q *quota, lease Title, out *Outbox) {
	level := lease.level
	if q.held != nil {
		q.held.resigned = true
		q.held.bucket.advance(now)
		level = q.held.bucket.level
	}
	mgr.swap(now, q, q.record.with(NewTitle(mgr.domain, Holder{}, lease.weight, level, false)), claim{}, out)
}

// seekLease claims the title of the own domain when nobody holds it: there is none
// yet, its holder resigned, its process has provably ended, or its holder was
// silent for the whole hold after a notice.
func (mgr *Desk) seekLease(now model.Instant, q *quota, lease Title, exists bool, out *Outbox) {
	if q.memberIndex >= maxCandidates && now.Sub(q.lastRefill) > avoidanceTime {
		return
	}
	if !exists {
		mgr.claimNew(now, q, out)
		return
	}
	if lease.holder.address == mgr.self.address {
		mgr.Bury(lease.holder.incarnation)
	}
	if lease.holder.incarnation != 0 && !mgr.dead[lease.holder.incarnation] {
		q.vacantSince = 0
		mgr.challengeHolder(now, q, lease, out)
		return
	}
	if mgr.isTurn(now, q, lease.holder.address == mgr.self.address) {
		mgr.claimVacant(now, q, lease, lease.level, out)
	}
}

// isTurn reports whether a vacancy is old enough for a daemon of this rank.
func (mgr *Desk) isTurn(now model.Instant, q *quota, sameAddress bool) bool {
	if q.vacantSince == 0 {
		q.vacantSince = now
	}
	if sameAddress {
		return true
	}
	return now.Sub(q.vacantSince) >= time.Duration(min(q.memberIndex, maxCandidates))*candidateStep
}

// areMembersStable reports whether the members have stood still for long enough. For an
// organisation whose requests wait there is no time for that.
func (mgr *Desk) areMembersStable(now model.Instant, q *quota) bool {
	if q.lastRefill != 0 && now.Sub(q.lastRefill) < avoidanceTime {
		return true
	}
	return now.Sub(mgr.membersChanged) >= membersStableTime || now.Sub(mgr.firstMembers) >= maxMembersStableWait
}

// claimNew claims a title for a domain that has none.
func (mgr *Desk) claimNew(now model.Instant, q *quota, out *Outbox) {
	if !mgr.areMembersStable(now, q) {
		return
	}
	weight := min(mgr.targetWeight(q), q.record.Free())
	if q.version == 0 {
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
	if q.version == 0 {
		next = Record{neverHeld: Whole}
	}
	unheld := min(weight, next.neverHeld)
	next.neverHeld -= unheld
	c := claim{initialTokens: q.part(q.burst, unheld)}
	mgr.swap(now, q, next.with(NewTitle(mgr.domain, mgr.self, weight, 0, false)), c, out)
}

// claimVacant claims a vacant title. What its last holder may have issued counts as
// outstanding until it has lapsed.
func (mgr *Desk) claimVacant(now model.Instant, q *quota, lease Title, level float64, out *Outbox) {
	if lease.holder.incarnation != 0 {
		level = 0
	}
	limit := q.part(q.burst, lease.weight)
	c := claim{initialTokens: level, assumed: mgr.assumeOutstanding(q, lease.weight, limit-level)}
	mgr.swap(now, q, q.record.with(NewTitle(mgr.domain, mgr.self, lease.weight, 0, false)), c, out)
}

// challengeHolder watches the holder of the domain's title. After a long silence it puts
// a notice into the record, which a living holder removes. A holder that lets
// it stand for the whole hold has lost the title by its own clock.
func (mgr *Desk) challengeHolder(now model.Instant, q *quota, lease Title, out *Outbox) {
	if q.memberIndex < maxCandidates && now.Sub(q.lastPoll) >= pollInterval {
		q.lastPoll = now
		mgr.pollHolder(now, q, lease, out)
	}
	if !lease.challenged {
		q.challengedSince = 0
		s := q.holders[lease.domain]
		if q.memberIndex < maxCandidates && s.incarnation == lease.holder.incarnation && s.unanswered > 2 && now.Sub(s.unansweredSince) >= challengeAfter {
			lease.challenged = true
			mgr.swap(now, q, q.record.with(lease), claim{}, out)
		}
		return
	}
	if q.challengedSince == 0 {
		q.challengedSince = now
	}
	if now.Sub(q.challengedSince) < model.Guard(mgr.leaseTTL) {
		mgr.pollRecord(now, q, out)
		return
	}
	mgr.claimVacant(now, q, lease, 0, out)
}

// idleRead reads the record now and then while the domain needs no title.
func (mgr *Desk) idleRead(now model.Instant, q *quota, out *Outbox) {
	if q.nextIdleRead != 0 && !now.Before(q.nextIdleRead) {
		mgr.read(now, q, out)
	}
	if !now.Before(q.nextIdleRead) {
		q.nextIdleRead = now.Add(mgr.jitter(idleReadInterval))
	}
}

// pollRecord reads the record now and then.
func (mgr *Desk) pollRecord(now model.Instant, q *quota, out *Outbox) {
	mgr.read(now, q, out)
	q.nextCall = now.Add(mgr.jitter(challengeReadInterval))
}

func (mgr *Desk) read(now model.Instant, q *quota, out *Outbox) {
	mgr.op++
	q.call = storeCall{op: mgr.op, sentAt: now}
	out.add(Read{org: q.org, op: mgr.op})
}

func (mgr *Desk) swap(now model.Instant, q *quota, r Record, c claim, out *Outbox) {
	mgr.op++
	q.call = storeCall{op: mgr.op, sentAt: now}
	r.serial = q.record.serial + 1
	q.call.record = r
	c.serial, c.sentAt, c.active = r.serial, now, true
	q.claim = c
	out.add(Swap{org: q.org, op: mgr.op, version: q.version, record: r})
}
