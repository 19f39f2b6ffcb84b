package share

import "anvilstand/core/model"

// Outcome is how a store call ended.
//
//sumtype:decl
type Outcome interface{ isOutcome() }

// Members of Outcome.
type (
	// Done is a swap that took effect.
	Done struct{ version uint64 }
	// Stale is a swap that found another version and changed nothing.
	Stale struct{}
	// Lost is a call without an answer. A swap may have taken effect.
	Lost struct{}
)

func (Done) isOutcome()  {}
func (Stale) isOutcome() {}
func (Lost) isOutcome()  {}

// NewDone returns the outcome of a swap that wrote a version.
func NewDone(version uint64) Done { return Done{version: version} }

// Loaded takes the answer to a Read. Version zero means that there is no
// record.
func (mgr *Desk) Loaded(now model.Instant, org model.Org, op, version uint64, r Record, out *Outbox) {
	q := mgr.quotas[org]
	if q == nil || q.call.op != op {
		return
	}
	sentAt := q.call.sentAt
	q.call = storeCall{}
	q.claimUncertain, q.failedCalls = false, 0
	if version < q.version || !r.Valid() {
		q.nextCall = now.Add(mgr.jitter(meanStoreRetry))
		return
	}
	before := q.version
	mgr.adopt(now, q, version, r)
	mgr.renew(q, sentAt)
	if q.version > before {
		mgr.broadcast(q, out)
	}
}

// Stored takes the answer to a Swap, or to a Read that failed.
func (mgr *Desk) Stored(now model.Instant, org model.Org, op uint64, o Outcome, out *Outbox) {
	q := mgr.quotas[org]
	if q == nil || q.call.op != op {
		return
	}
	c := q.call
	q.call = storeCall{}
	switch o := o.(type) {
	case Done:
		q.failedCalls = 0
		mgr.adopt(now, q, o.version, c.record)
		mgr.renew(q, c.sentAt)
		mgr.broadcast(q, out)
	case Stale:
		q.failedCalls = 0
		mgr.read(now, q, out)
	case Lost:
		q.claimUncertain = q.claimUncertain || q.claim.active
		q.nextCall = now.Add(mgr.jitter(meanStoreRetry << min(q.failedCalls, maxStoreRetryDoublings)))
		q.failedCalls++
	}
}

// renew lengthens the own title: its holder found it in the record, without
// a notice, by a call that began at sent.
func (mgr *Desk) renew(q *quota, sentAt model.Instant) {
	lease, ok := q.record.Title(mgr.domain)
	if ok && q.held != nil && lease.holder.incarnation == mgr.self.incarnation && !lease.challenged {
		q.held.confirmedAt = max(q.held.confirmedAt, sentAt)
	}
}

// adopt takes a record that is newer than the one known. A peer may have told
// it before the store's own answer comes.
func (mgr *Desk) adopt(now model.Instant, q *quota, version uint64, r Record) {
	if q.known && version <= q.version {
		return
	}
	c := q.claim
	q.vacantSince, q.claim = 0, claim{}
	if _, ok := r.Title(mgr.domain); ok {
		q.challengedSince = 0
	}
	q.known, q.version, q.record = true, version, r
	lease, ok := r.Title(mgr.domain)
	if !ok || lease.holder.incarnation != mgr.self.incarnation {
		q.held = nil
		return
	}
	ownClaim := c.active && r.serial == c.serial
	if q.held != nil {
		mgr.followWeight(now, q, lease, c, ownClaim)
		return
	}
	mgr.openBucket(now, q, lease, c, ownClaim)
}

// openBucket starts the pot of a title that was gained. When the swap that gained it
// is not known for certain, the pot starts as if all were outstanding.
func (mgr *Desk) openBucket(now model.Instant, q *quota, lease Title, c claim, ownClaim bool) {
	if !ownClaim {
		c = claim{assumed: mgr.assumeOutstanding(q, lease.weight, q.part(q.burst, lease.weight))}
	}
	q.held = &heldLease{confirmedAt: c.sentAt}
	q.setWeight(now, lease.weight)
	q.held.bucket.Open(now, c.initialTokens, c.assumed, now.Add(model.Guard(Life)), mgr.rnd.Uint64()>>1)
}

// followWeight follows the weight in a record that has changed. While it has not,
// what was lowered here stays lowered: the swap may still be under way.
func (mgr *Desk) followWeight(now model.Instant, q *quota, lease Title, c claim, ownClaim bool) {
	if lease.weight == q.held.weight {
		return
	}
	q.setWeight(now, lease.weight)
	if ownClaim {
		q.held.bucket.Add(now, c.addedTokens)
	}
}

// broadcast tells a changed record to those who ask for tokens, the own domain's
// members and the other holders, and to those who may claim a title that is
// missing.
func (mgr *Desk) broadcast(q *quota, out *Outbox) {
	lease, _ := q.record.Title(mgr.domain)
	if q.held == nil && !mgr.leaving && lease.holder.incarnation != mgr.self.incarnation {
		return
	}
	u := NewKnown(q.org, 0, mgr.self, q.version, q.record)
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

// relayUpdate tells a record that came from another domain to the own one's members,
// when the domain has no holder to tell them.
func (mgr *Desk) relayUpdate(q *quota, out *Outbox) {
	if _, ok := q.record.Title(mgr.domain); !ok && q.memberIndex == 0 {
		mgr.sendToDomain(NewKnown(q.org, 0, mgr.self, q.version, q.record), out)
	}
}

// sendToDomain sends a record to the other members of the own domain.
func (mgr *Desk) sendToDomain(u Known, out *Outbox) {
	for _, m := range mgr.members {
		if m.Name() != mgr.self.name {
			out.add(Send{address: m.Address(), message: u})
		}
	}
}
