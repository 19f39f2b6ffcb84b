package quota

import "anvilstand/core/model"

// Outcome is how a store call ended.
//
//sumtype:decl
type Outcome interface{ isOutcome() }

// Members of Outcome.
type (
	// Swapped is a swap that took effect.
	Swapped struct{ version uint64 }
	// Conflict is a swap that found another version and changed nothing.
	Conflict struct{}
	// NoAnswer is a call without an answer.
	// A swap may have taken effect.
	NoAnswer struct{}
)

func (Swapped) isOutcome()  {}
func (Conflict) isOutcome() {}
func (NoAnswer) isOutcome() {}

// NewSwapped returns the outcome of a swap that wrote a version.
func NewSwapped(version uint64) Swapped { return Swapped{version: version} }

// HandleRead handles the answer to a Read. Version zero means that there is no
// record. Answers to other calls than the one under way are ignored.
func (mgr *Manager) HandleRead(now model.Instant, org model.Org, op, version uint64, r Record, out *Outbox) {
	q := mgr.quotas[org]
	if q == nil || q.call.op != op {
		return
	}
	sentAt := q.call.sentAt
	q.call = storeCall{}
	q.swapUncertain, q.failedCalls = false, 0
	if version < q.version || !r.Valid() {
		q.nextCall = now.Add(mgr.jitter(meanStoreRetry))
		return
	}
	before := q.version
	mgr.adopt(now, q, version, r)
	if q.rebuildOver > 0 {
		return
	}
	mgr.renew(now, q, sentAt)
	if q.version > before {
		mgr.broadcast(q, out)
	}
}

// HandleOutcome handles the outcome of a Swap, or of a Read that failed.
// Answers to other calls than the one under way are ignored.
func (mgr *Manager) HandleOutcome(now model.Instant, org model.Org, op uint64, o Outcome, out *Outbox) {
	q := mgr.quotas[org]
	if q == nil || q.call.op != op {
		return
	}
	call := q.call
	q.call = storeCall{}
	switch o := o.(type) {
	case Swapped:
		q.failedCalls = 0
		mgr.adopt(now, q, o.version, call.record)
		mgr.renew(now, q, call.sentAt)
		mgr.broadcast(q, out)
		mgr.announceChallenge(q, out)
	case Conflict:
		q.failedCalls = 0
		q.awaitsUpdate, q.nextCall = true, now.Add(updateWait)
	case NoAnswer:
		q.swapUncertain = q.swapUncertain || q.pendingSwap.active
		q.nextCall = now.Add(mgr.jitter(meanStoreRetry << min(q.failedCalls, maxStoreRetryDoublings)))
		q.failedCalls++
	}
}

// renew extends the lease held here: a call sent at sentAt found it in the
// record, without a challenge. The lease runs from the sending, because the
// record may have changed any time after that. A lease that has lapsed may have been
// taken over by a write that a restore of the store has lost, and that is being written
// again.
func (mgr *Manager) renew(now model.Instant, q *orgQuota, sentAt model.Instant) {
	lease, ok := q.record.Lease(mgr.domain)
	if !ok || q.held == nil || lease.holder.incarnation != mgr.self.incarnation || lease.challenged {
		return
	}
	q.held.confirmedAt = max(q.held.confirmedAt, sentAt)
	if mgr.isRenewed(now, q) || !mgr.IsRebuilding(now) {
		q.held.renewedUntil = max(q.held.renewedUntil, sentAt.Add(storeRenewalTTL))
	}
}

// adopt takes over a record that is newer than the one known. A peer may have
// sent it before the store's own answer comes, so the record that the last swap
// wrote is recognised by its serial. A swap that lost to another one over the
// same version has the serial of the winner's, but its change is not in the
// record.
func (mgr *Manager) adopt(now model.Instant, q *orgQuota, version uint64, r Record) {
	if q.known && version <= q.version {
		return
	}
	if mgr.keepsNewer(now, q, version, r) {
		return
	}
	if q.awaitsUpdate {
		q.awaitsUpdate, q.nextCall = false, now
	}
	pending := q.pendingSwap
	q.rebuildOver = 0
	q.vacantSince, q.pendingSwap = 0, pendingSwap{}
	mgr.noteHolder(now, q, r)
	q.known, q.version, q.record = true, version, r
	lease, ok := r.Lease(mgr.domain)
	if !ok || lease.holder.incarnation != mgr.self.incarnation {
		q.held = nil
		return
	}
	ownSwap := pending.active && r.serial == pending.serial
	if q.held != nil {
		mgr.followWeight(now, q, lease, pending, ownSwap)
		return
	}
	mgr.openBucket(now, q, lease, pending, ownSwap)
}

// noteHolder notes what a newer record says about the holder of this domain's lease, before
// it is adopted.
func (mgr *Manager) noteHolder(now model.Instant, q *orgQuota, r Record) {
	lease, ok := r.Lease(mgr.domain)
	if !ok {
		return
	}
	was, _ := q.record.Lease(mgr.domain)
	isSame := was.holder.incarnation == lease.holder.incarnation && q.known
	if !isSame {
		q.holderSince, q.refuted, q.deniedSince = now, 0, 0
	} else if was.challenged && !lease.challenged {
		q.holderSince = now
		q.refuted++
	}
	if !isSame || !lease.challenged || !isSameChallenge(was, lease, r.serial-q.record.serial) {
		q.challengedSince, q.lapsedSince = 0, 0
	}
}

// isSameChallenge reports whether a lease has the challenge that it had some writes
// before, which has not been removed in between. If it is not known which write added it,
// there must have been a single write, which cannot do both.
func isSameChallenge(was, lease Lease, writes uint64) bool {
	return was.challenge == lease.challenge && (lease.challenge != 0 || writes == 1)
}

// openBucket starts the bucket of a lease that was gained. Unless the record is
// the one that this daemon's last swap wrote, the bucket starts empty, with all
// of its tokens counted as outstanding but for a part of the Slack.
func (mgr *Manager) openBucket(now model.Instant, q *orgQuota, lease Lease, pending pendingSwap, ownSwap bool) {
	if !ownSwap {
		pending = pendingSwap{origin: Found{}, assumed: mgr.assumeOutstanding(q, lease.weight, q.part(q.burst, lease.weight))}
	}
	q.held = &heldLease{confirmedAt: pending.sentAt, origin: pending.origin, predecessor: pending.predecessor}
	if pending.sentAt != 0 {
		q.held.renewedUntil = pending.sentAt.Add(storeRenewalTTL)
	}
	q.contenders = mgr.contendersOf(q)
	q.setWeight(now, lease.weight)
	q.held.bucket.Open(now, pending.initialTokens, pending.assumed, now.Add(model.WithDrift(BatchTTL)), mgr.rnd.Uint64()>>1)
}

// followWeight puts the recorded weight in force. adopt calls it only for a
// newer record: until there is one, a weight lowered here stays lowered,
// because the swap may still be under way.
func (mgr *Manager) followWeight(now model.Instant, q *orgQuota, lease Lease, pending pendingSwap, ownSwap bool) {
	if lease.weight == q.held.weight {
		return
	}
	q.setWeight(now, lease.weight)
	if ownSwap {
		q.held.bucket.Add(now, pending.addedTokens)
	}
}

// broadcast sends a changed record to the other members of this daemon's domain,
// to the holders of the other domains, and to the first candidate of each domain
// without a holder. Only a daemon that has the lease's bucket, that the record
// names as the holder, or that is leaving does so.
func (mgr *Manager) broadcast(q *orgQuota, out *Outbox) {
	lease, _ := q.record.Lease(mgr.domain)
	if q.held == nil && !mgr.leaving && lease.holder.incarnation != mgr.self.incarnation {
		return
	}
	u := NewRecordUpdate(q.org, 0, mgr.self, q.version, q.record)
	mgr.sendToDomain(u, out)
	sent := map[model.Domain]bool{mgr.domain: true}
	for _, other := range q.record.leases {
		if other.holder.incarnation == 0 || sent[other.domain] {
			continue
		}
		sent[other.domain] = true
		out.add(Send{address: other.holder.address, message: u})
	}
	for _, m := range mgr.firstCandidates(q.org) {
		if !sent[m.Domain()] {
			out.add(Send{address: m.Address(), message: u})
		}
	}
}

// announceChallenge sends a record in which the lease of this domain is challenged to the
// other members, so that none of them writes another challenge.
func (mgr *Manager) announceChallenge(q *orgQuota, out *Outbox) {
	if lease, _ := q.record.Lease(mgr.domain); lease.challenged {
		mgr.sendToDomain(NewRecordUpdate(q.org, 0, mgr.self, q.version, q.record), out)
	}
}

// relayUpdate passes a record from another domain on to the members of this
// daemon's domain, if that has no holder to do so. The first candidate does it.
func (mgr *Manager) relayUpdate(q *orgQuota, out *Outbox) {
	if _, ok := q.record.Lease(mgr.domain); !ok && q.memberIndex == 0 {
		mgr.sendToDomain(NewRecordUpdate(q.org, 0, mgr.self, q.version, q.record), out)
	}
}

// sendToDomain sends a record to the other members of this daemon's domain.
func (mgr *Manager) sendToDomain(u RecordUpdate, out *Outbox) {
	for _, m := range mgr.members {
		if m.Name() != mgr.self.name {
			out.add(Send{address: m.Address(), message: u})
		}
	}
}
