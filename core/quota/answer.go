package quota

import (
	"slices"
	"time"

	"anvilstand/core/model"
)

// Exponential backoff with jitter between two rounds without a token: the mean is
// minBackoff after the first, and doubles with each further one up to
// maxBackoff, which is four doublings.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
)

// finishRound ends the round. After a round without a token it tells the token
// cache that no token will come before the next round.
func (mgr *Manager) finishRound(now model.Instant, q *orgQuota, out *Outbox) {
	got := q.round.got
	q.round = askRound{}
	if got > 0 {
		q.backoffDoublings = max(0, q.backoffDoublings-1)
		q.nextRound = now
		return
	}
	backoff := min(maxBackoff, minBackoff<<min(q.backoffDoublings, 4))
	q.backoffDoublings++
	q.nextRound = now.Add(mgr.jitter(backoff))
	if q.known && len(q.record.leases) > 0 {
		out.add(MarkExhausted{org: q.org, until: q.nextRound})
	}
}

// handleGrant handles the answer to an ask. An answer counts once, and only
// while its batch is valid. A late one is used, too, but doesn't continue the
// round.
func (mgr *Manager) handleGrant(now model.Instant, q *orgQuota, g Grant, out *Outbox) {
	i := slices.IndexFunc(q.asks, func(p pendingAsk) bool { return p.seq == g.seq })
	if i < 0 {
		return
	}
	p := q.asks[i]
	q.asks = slices.Delete(q.asks, i, i+1)
	mgr.noteAnswer(p)
	if g.domain == mgr.domain {
		q.deniedSince = 0
	}
	q.holders[g.domain] = holderState{incarnation: g.holder.incarnation, level: g.level, seenAt: now}
	deadline := p.sentAt.Add(p.batchTTL())
	if g.tokens > 0 && now.Before(deadline) {
		b := NewBatch(g.holder, g.id, g.tokens, deadline)
		if p.onDemand {
			b = b.AsOnDemand()
		}
		out.add(AddBatch{org: q.org, batch: b})
		q.round.got += g.tokens
	}
	q.recordlessRounds = 0
	if !p.timedOut && !p.poll {
		mgr.continueRound(now, q, out)
	}
}

// continueRound asks the next holder, unless the round has got half of the
// tokens that it wants.
func (mgr *Manager) continueRound(now model.Instant, q *orgQuota, out *Outbox) {
	if 2*q.round.got >= q.round.want {
		mgr.finishRound(now, q, out)
		return
	}
	mgr.askNext(now, q, nil, out)
}

// handleUpdate handles a record that another Manager knows. If the answer comes
// from another process at the address that was asked, the process asked must
// have ended: it was listening there before the ask was sent.
func (mgr *Manager) handleUpdate(now model.Instant, q *orgQuota, u RecordUpdate, out *Outbox) {
	if u.version > q.version && u.record.Valid() {
		mgr.adopt(now, q, u.version, u.record)
		mgr.relayUpdate(q, out)
	}
	i := slices.IndexFunc(q.asks, func(p pendingAsk) bool { return p.seq == u.seq })
	if u.seq == 0 || i < 0 {
		return
	}
	p := q.asks[i]
	q.asks = slices.Delete(q.asks, i, i+1)
	mgr.noteAnswer(p)
	if p.domain != "" && p.to.address == u.sender.address && p.to.incarnation != u.sender.incarnation {
		mgr.MarkEnded(p.to.incarnation)
	}
	mgr.noteDenial(now, q, p, u.sender)
	if p.timedOut || p.poll {
		return
	}
	if p.domain == "" && len(q.record.leases) > 0 {
		q.round.asked = nil
	}
	mgr.continueRound(now, q, out)
}

// noteDenial records that the holder of the domain's lease has answered an ask without a
// grant: by its own clock it does not hold a valid lease.
func (mgr *Manager) noteDenial(now model.Instant, q *orgQuota, p pendingAsk, sender Holder) {
	lease, ok := q.record.Lease(mgr.domain)
	if !ok || p.domain != mgr.domain || sender != lease.holder {
		return
	}
	if q.deniedSince == 0 {
		q.deniedSince = now
	}
	q.deniedAt = max(q.deniedAt, p.sentAt)
}

// expireAsks drops asks whose batch would have expired, and asks another holder
// when an answer is late.
func (mgr *Manager) expireAsks(now model.Instant, q *orgQuota, out *Outbox) {
	q.asks = slices.DeleteFunc(q.asks, func(p pendingAsk) bool { return now.Sub(p.sentAt) >= BatchTTL })
	pending := false
	for i := range q.asks {
		p := &q.asks[i]
		if !p.timedOut && now.Sub(p.sentAt) >= p.timeout() {
			p.timedOut = true
			q.noteUnanswered(now, *p)
		}
		pending = pending || (!p.timedOut && !p.poll)
	}
	if q.round.want > 0 && !pending {
		mgr.continueRound(now, q, out)
	}
}

// noteUnanswered records that a holder did not answer in time, and how long to
// avoid it.
func (q *orgQuota) noteUnanswered(now model.Instant, p pendingAsk) {
	if p.domain == "" {
		return
	}
	s := q.holders[p.domain]
	if s.incarnation != p.to.incarnation {
		s = holderState{incarnation: p.to.incarnation}
	}
	if s.unanswered == 0 {
		s.unansweredSince = p.sentAt
	}
	s.avoidUntil = now.Add(avoidanceTime << min(s.unanswered, maxAvoidanceDoublings))
	s.unanswered++
	q.holders[p.domain] = s
}
