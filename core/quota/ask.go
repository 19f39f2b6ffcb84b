package quota

import (
	"slices"
	"time"

	"anvilstand/core/model"
)

// pendingAsk is an ask that may still be answered.
type pendingAsk struct {
	seq      uint64
	domain   model.Domain // of the lease, or empty when the record is not known
	to       Holder
	sentAt   model.Instant
	timedOut bool // another holder has been asked in the meantime
	onDemand bool // expects an on-demand batch
	poll     bool // asks for no tokens, to see whether the holder is alive
}

// timeout returns how long the answer may take before another holder is asked.
func (p pendingAsk) timeout() time.Duration {
	if p.onDemand {
		return onDemandAnswerTimeout
	}
	return answerTimeout
}

// batchTTL returns how long the granted batch may be spent, counted from the
// ask.
func (p pendingAsk) batchTTL() time.Duration {
	if p.onDemand {
		return OnDemandTTL
	}
	return BatchTTL
}

// askRound is one refill of the token cache, for which the holders are asked
// one after the other.
type askRound struct {
	want     int // tokens
	got      int // tokens
	onDemand bool
	asked    []model.Domain // domains of the leases tried, empty for an unknown record
}

// Refill asks the holders for the tokens that the token cache needs, and sends
// them its usage reports. At most one round of asks per organisation is under
// way.
func (mgr *Manager) Refill(now model.Instant, r RefillRequest, out *Outbox) {
	q := mgr.quotas[r.org]
	if q == nil {
		return
	}
	q.lastRefill = now
	reports := groupByHolder(r.usage)
	if r.want > 0 && q.round.want == 0 && !now.Before(q.nextRound) {
		q.round = askRound{want: r.want, onDemand: r.onDemand}
		mgr.askNext(now, q, &reports, out)
	}
	for _, h := range reports {
		m := NewAsk(q.org, 0, mgr.self, h.to.incarnation, q.version, 0, h.usage)
		mgr.send(now, h.to, m, out)
	}
}

// holderReport is the usage to be reported to one holder.
type holderReport struct {
	to    Holder
	usage []Usage
}

// groupByHolder returns one report per holder, in order of first appearance.
func groupByHolder(usages []holderUsage) []holderReport {
	var all []holderReport
	for _, u := range usages {
		i := slices.IndexFunc(all, func(h holderReport) bool { return h.to == u.holder })
		if i < 0 {
			i = len(all)
			all = append(all, holderReport{to: u.holder})
		}
		all[i].usage = append(all[i].usage, u.usage)
	}
	return all
}

// askNext asks the next holder of the round, or ends the round when there is
// none. The report that is meant for this holder goes along with the ask.
func (mgr *Manager) askNext(now model.Instant, q *orgQuota, reports *[]holderReport, out *Outbox) {
	if !q.known || len(q.record.leases) == 0 {
		mgr.askForRecord(now, q, out)
		return
	}
	lease, ok := mgr.chooseLease(now, q)
	if !ok {
		mgr.finishRound(now, q, out)
		return
	}
	q.round.asked = append(q.round.asked, lease.domain)
	var usage []Usage
	if reports != nil {
		*reports = slices.DeleteFunc(*reports, func(h holderReport) bool {
			if h.to == lease.holder {
				usage = h.usage
			}
			return h.to == lease.holder
		})
	}
	mgr.sendAsk(now, q, lease.domain, lease.holder, lease.holder.incarnation, usage, out)
}

// sendAsk asks for the tokens that the round still lacks. An incarnation of
// zero accepts an answer of any process at the address.
func (mgr *Manager) sendAsk(now model.Instant, q *orgQuota, domain model.Domain, to Holder, incarnation model.Incarnation, usage []Usage, out *Outbox) {
	mgr.seq++
	q.asks = append(q.asks, pendingAsk{seq: mgr.seq, domain: domain, to: to, sentAt: now, onDemand: q.round.onDemand})
	m := NewAsk(q.org, mgr.seq, mgr.self, incarnation, q.version, q.round.want-q.round.got, usage)
	if q.round.onDemand {
		m = m.AsOnDemand()
	}
	mgr.send(now, to, m, out)
}

// pollHolder sends an ask for no tokens, to see whether the holder is alive.
func (mgr *Manager) pollHolder(now model.Instant, q *orgQuota, lease Lease, out *Outbox) {
	mgr.seq++
	q.asks = append(q.asks, pendingAsk{seq: mgr.seq, domain: lease.domain, to: lease.holder, sentAt: now, poll: true})
	mgr.send(now, lease.holder, NewAsk(q.org, mgr.seq, mgr.self, lease.holder.incarnation, q.version, 0, nil), out)
}

// chooseLease picks the lease to ask next: that of this daemon's domain unless
// its bucket is believed empty, otherwise the one with the most tokens. The
// burst, which is added for the own domain, is no less than any lease's bucket
// can contain. A holder that doesn't answer is asked only when there is no other.
func (mgr *Manager) chooseLease(now model.Instant, q *orgQuota) (Lease, bool) {
	var best Lease
	var bestTokens float64
	found := false
	for _, lease := range q.record.leases {
		if lease.holder.incarnation == 0 || mgr.ended[lease.holder.incarnation] || slices.Contains(q.round.asked, lease.domain) {
			continue
		}
		tokens := q.estimateTokens(now, lease)
		if tokens < 0 && len(q.round.asked) > 0 {
			continue
		}
		if lease.domain == mgr.domain && tokens > 0 {
			tokens += q.burst
		}
		if !found || tokens > bestTokens {
			best, bestTokens, found = lease, tokens, true
		}
	}
	return best, found
}

// estimateTokens estimates the tokens in a lease's bucket, with zero for less
// than one token. It returns -1 for a holder that doesn't answer.
func (q *orgQuota) estimateTokens(now model.Instant, lease Lease) float64 {
	full := q.part(q.burst, lease.weight)
	s, ok := q.holders[lease.domain]
	if !ok || s.incarnation != lease.holder.incarnation {
		return full
	}
	if now.Before(s.avoidUntil) {
		return -1
	}
	gained := q.part(q.rate, lease.weight) * now.Sub(s.seenAt).Seconds()
	if tokens := min(full, s.level+gained); tokens >= 1 {
		return tokens
	}
	return 0
}

// askForRecord asks the member of this daemon's domain that is most likely to
// hold the lease, while the record is not known or has no lease. Each further
// round asks the next candidate.
func (mgr *Manager) askForRecord(now model.Instant, q *orgQuota, out *Outbox) {
	to, ok := mgr.memberAt(q.org, q.recordlessRounds)
	if !ok || len(q.round.asked) > 0 {
		mgr.finishRound(now, q, out)
		return
	}
	q.recordlessRounds++
	q.round.asked = append(q.round.asked, "")
	mgr.sendAsk(now, q, "", to, 0, nil, out)
}
