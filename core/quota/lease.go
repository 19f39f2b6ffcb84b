package quota

import (
	"time"

	"anvilstand/core/model"
)

// handleAsk applies the usage reports of an ask and answers it from the bucket
// of the lease held here. The lease's validity is checked at this point, so
// that a holder that was paused past the end of its lease grants nothing.
func (mgr *Manager) handleAsk(now model.Instant, q *orgQuota, m Ask, out *Outbox) {
	if m.to == mgr.self.incarnation && q.held != nil {
		for _, u := range m.usage {
			q.held.bucket.Report(now, u)
		}
	}
	if m.seq == 0 && m.to == mgr.self.incarnation {
		return
	}
	if (m.to != 0 && m.to != mgr.self.incarnation) || !mgr.isLeaseValid(now, q) {
		mgr.send(now, m.from, NewRecordUpdate(q.org, m.seq, mgr.self, q.version, q.record), out)
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
		mgr.send(now, m.from, NewRecordUpdate(q.org, 0, mgr.self, q.version, q.record), out)
	}
}

// maintain renews, claims or gives up the lease of this daemon's domain, with
// one store call at a time.
func (mgr *Manager) maintain(now model.Instant, q *orgQuota, out *Outbox) {
	if q.call.op != 0 && now.Sub(q.call.sentAt) < storeCallTimeout {
		return
	}
	q.call = storeCall{}
	if now.Before(q.nextCall) {
		return
	}
	if q.swapUncertain || q.awaitsUpdate {
		q.awaitsUpdate = false
		mgr.read(now, q, out)
		return
	}
	if !q.known {
		mgr.discoverRecord(now, q, out)
		return
	}
	if mgr.rebuild(now, q, out) {
		return
	}
	lease, ok := q.record.Lease(mgr.domain)
	switch {
	case ok && lease.holder.incarnation == mgr.self.incarnation && mgr.leaving:
		mgr.vacate(now, q, lease, out)
	case mgr.leaving || mgr.IsRebuilding(now):
	case ok && lease.holder.incarnation == mgr.self.incarnation:
		mgr.maintainOwn(now, q, lease, out)
	default:
		mgr.seekLease(now, q, lease, ok, out)
	}
}

// discoverRecord reads an unknown record if this daemon is a candidate for the
// lease, or if two rounds of asking peers failed.
func (mgr *Manager) discoverRecord(now model.Instant, q *orgQuota, out *Outbox) {
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

// maintainOwn looks after the lease held here: it removes a challenge, renews
// the lease, and moves its weight towards the target.
func (mgr *Manager) maintainOwn(now model.Instant, q *orgQuota, lease Lease, out *Outbox) {
	if lease.challenged {
		mgr.swap(now, q, q.record.with(lease.withoutChallenge()), pendingSwap{}, out)
		return
	}
	if mgr.needsRead(now, q) {
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
		// A lower weight is in force here, and a swap with it may still be under
		// way. A newer version of the record makes that swap fail.
		mgr.swap(now, q, q.record, pendingSwap{}, out)
	default:
		mgr.clear(now, q, out)
	}
}

// needsRead reports whether the holder has to read the record to renew its lease.
func (mgr *Manager) needsRead(now model.Instant, q *orgQuota) bool {
	if q.held == nil || now.Sub(q.held.confirmedAt) >= mgr.leaseTTL/renewalsPerTTL {
		return true
	}
	return len(q.contenders.addresses) > 0 && q.held.renewedUntil.Sub(now) <= storeRenewalMargin
}

// lowerWeight gives up weight: first in the bucket, then, once the outstanding
// tokens fit into the lower capacity, in the record.
func (mgr *Manager) lowerWeight(now model.Instant, q *orgQuota, lease Lease, target int, out *Outbox) {
	q.setWeight(now, target)
	if q.held.bucket.Outstanding() > q.held.bucket.Capacity() {
		return
	}
	next := q.record.without(mgr.domain)
	if lease.weight = target; target > 0 {
		next = next.with(lease)
	}
	mgr.swap(now, q, next, pendingSwap{}, out)
}

// raiseWeight claims free weight for the lease held here. Weight that was never
// held brings its part of the burst along.
func (mgr *Manager) raiseWeight(now model.Instant, q *orgQuota, lease Lease, gain int, out *Outbox) {
	next := q.record
	unheld := min(gain, q.neverHeld())
	next.neverHeld = q.neverHeld() - unheld
	lease.weight += gain
	mgr.swap(now, q, next.with(lease), pendingSwap{addedTokens: q.part(q.burst, unheld)}, out)
}

// clear frees the weight of failure domains that have no members left and whose
// lease is vacant or has a holder that ended. Such a lease is first marked
// vacant, and removed once all batches of the holder have expired. Each call
// does at most one of these steps, for one lease.
func (mgr *Manager) clear(now model.Instant, q *orgQuota, out *Outbox) {
	for _, lease := range q.record.leases {
		if lease.domain == mgr.domain || mgr.hasMembers(lease.domain) {
			continue
		}
		if mgr.ended[lease.holder.incarnation] {
			lease.holder, lease.level = Holder{}, 0
			mgr.swap(now, q, q.record.with(lease), pendingSwap{}, out)
			return
		}
		if lease.holder.incarnation != 0 {
			continue
		}
		if q.vacantSince == 0 {
			q.vacantSince = now
		}
		if now.Sub(q.vacantSince) >= model.WithDrift(BatchTTL) {
			q.vacantSince = 0
			mgr.swap(now, q, q.record.without(lease.domain), pendingSwap{}, out)
			return
		}
	}
}

func (mgr *Manager) hasMembers(domain model.Domain) bool {
	for _, name := range mgr.domains {
		if name == domain {
			return true
		}
	}
	return false
}

// vacate stops granting tokens at once, and asks to mark the lease vacant in the
// record. The tokens in the bucket are left to the next holder. If the swap
// fails the lease stays resigned, and maintain vacates it again.
func (mgr *Manager) vacate(now model.Instant, q *orgQuota, lease Lease, out *Outbox) {
	level := lease.level
	if q.held != nil {
		q.held.resigned = true
		q.held.bucket.advance(now)
		level = q.held.bucket.level
	}
	mgr.swap(now, q, q.record.with(NewLease(mgr.domain, Holder{}, lease.weight, level, false)), pendingSwap{}, out)
}

// idleRead reads the record from time to time while the domain needs no lease.
func (mgr *Manager) idleRead(now model.Instant, q *orgQuota, out *Outbox) {
	if q.nextIdleRead != 0 && !now.Before(q.nextIdleRead) {
		mgr.read(now, q, out)
	}
	if !now.Before(q.nextIdleRead) {
		q.nextIdleRead = now.Add(mgr.jitter(idleReadInterval))
	}
}

// pollRecord reads the record from time to time while it has a challenge.
func (mgr *Manager) pollRecord(now model.Instant, q *orgQuota, out *Outbox) {
	mgr.read(now, q, out)
	q.nextCall = now.Add(mgr.jitter(challengeReadInterval))
}

func (mgr *Manager) read(now model.Instant, q *orgQuota, out *Outbox) {
	mgr.op++
	q.call = storeCall{op: mgr.op, sentAt: now}
	out.add(Read{org: q.org, op: mgr.op})
}

// nextSerial returns the serial of the next record that this daemon writes.
func (q *orgQuota) nextSerial() uint64 {
	return model.VersionAt(model.EraOf(q.version), model.RevisionOf(q.record.serial)+1)
}

// swap writes a record over the one known, by compare-and-swap. What pending says
// about the bucket takes effect when the record written is adopted.
func (mgr *Manager) swap(now model.Instant, q *orgQuota, r Record, pending pendingSwap, out *Outbox) {
	mgr.op++
	q.call = storeCall{op: mgr.op, sentAt: now}
	r.serial = q.nextSerial()
	q.call.record = r
	pending.serial, pending.sentAt, pending.active = r.serial, now, true
	q.pendingSwap = pending
	out.add(Swap{org: q.org, op: mgr.op, version: q.version, record: r})
}
