package share

import (
	"slices"
	"time"

	"anvilstand/core/model"
)

// pendingAsk is an pendingAsk that may still be answered.
type pendingAsk struct {
	seq      uint64
	domain   model.Domain // of the title, or empty when the record is not known
	to       Holder
	sentAt     model.Instant
	timedOut bool // another was asked in the meantime
	onDemand bool // the lump lives for Brief
	poll     bool // only a sign of life is asked for
}

// timeout returns how long an answer may take before another holder is asked.
func (p pendingAsk) timeout() time.Duration {
	if p.onDemand {
		return onDemandAnswerTimeout
	}
	return answerTimeout
}

// askRound is one need of tokens, brought to one holder after the other.
type askRound struct {
	want     int
	got      int
	onDemand bool
	asked    []model.Domain
}

// batchTTL returns how long the lump lives that an ask may get.
func (p pendingAsk) batchTTL() time.Duration {
	if p.onDemand {
		return Brief
	}
	return Life
}

// Want takes what the purse needs and reports.
func (mgr *Desk) Want(now model.Instant, r Need, out *Outbox) {
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

// holderReport is what one holder is told of its lumps.
type holderReport struct {
	to    Holder
	usage []Use
}

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

// askNext brings the round to the askNext holder, or ends it.
func (mgr *Desk) askNext(now model.Instant, q *quota, reports *[]holderReport, out *Outbox) {
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
	var usage []Use
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

func (mgr *Desk) sendAsk(now model.Instant, q *quota, domain model.Domain, to Holder, incarnation model.Incarnation, usage []Use, out *Outbox) {
	mgr.seq++
	q.asks = append(q.asks, pendingAsk{seq: mgr.seq, domain: domain, to: to, sentAt: now, onDemand: q.round.onDemand})
	m := NewAsk(q.org, mgr.seq, mgr.self, incarnation, q.version, q.round.want-q.round.got, usage)
	if q.round.onDemand {
		m = m.AsBrief()
	}
	mgr.send(now, to, m, out)
}

// pollHolder asks a holder for a sign of life.
func (mgr *Desk) pollHolder(now model.Instant, q *quota, lease Title, out *Outbox) {
	mgr.seq++
	q.asks = append(q.asks, pendingAsk{seq: mgr.seq, domain: lease.domain, to: lease.holder, sentAt: now, poll: true})
	mgr.send(now, lease.holder, NewAsk(q.org, mgr.seq, mgr.self, lease.holder.incarnation, q.version, 0, nil), out)
}

// chooseLease picks the title to ask next: the own domain's, unless it was just
// found empty, else the one that had most. A silent holder is asked only when
// there is no other.
func (mgr *Desk) chooseLease(now model.Instant, q *quota) (Title, bool) {
	var best Title
	var bestTokens float64
	found := false
	for _, lease := range q.record.leases {
		if lease.holder.incarnation == 0 || mgr.dead[lease.holder.incarnation] || slices.Contains(q.round.asked, lease.domain) {
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

// estimateTokens estimates the tokens in a title's pot. A silent holder comes last.
func (q *quota) estimateTokens(now model.Instant, lease Title) float64 {
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

// askForRecord asks a member of the own domain that is likely to hold the title.
func (mgr *Desk) askForRecord(now model.Instant, q *quota, out *Outbox) {
	to, ok := mgr.memberAt(q.org, q.recordlessRounds)
	if !ok || len(q.round.asked) > 0 {
		mgr.finishRound(now, q, out)
		return
	}
	q.recordlessRounds++
	q.round.asked = append(q.round.asked, "")
	mgr.sendAsk(now, q, "", to, 0, nil, out)
}

// Waits after a round in which every holder was empty.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
)

// finishRound ends the round. After one without a token, the purse need not hope
// for some until the next.
func (mgr *Desk) finishRound(now model.Instant, q *quota, out *Outbox) {
	got := q.round.got
	q.round = askRound{}
	if got > 0 {
		q.emptyRounds = max(0, q.emptyRounds-1)
		q.nextRound = now
		return
	}
	backoff := min(maxBackoff, minBackoff<<min(q.emptyRounds, 4))
	q.emptyRounds++
	q.nextRound = now.Add(mgr.jitter(backoff))
	if q.known && len(q.record.leases) > 0 {
		out.add(Dry{org: q.org, until: q.nextRound})
	}
}

// handleGrant takes the answer to an ask. An answer counts once, and only while
// its lump lives.
func (mgr *Desk) handleGrant(now model.Instant, q *quota, g Grant, out *Outbox) {
	i := slices.IndexFunc(q.asks, func(p pendingAsk) bool { return p.seq == g.seq })
	if i < 0 {
		return
	}
	p := q.asks[i]
	q.asks = slices.Delete(q.asks, i, i+1)
	q.holders[g.domain] = holderState{incarnation: g.holder.incarnation, level: g.level, seenAt: now}
	deadline := p.sentAt.Add(p.batchTTL())
	if g.tokens > 0 && now.Before(deadline) {
		b := NewLump(g.holder, g.id, g.tokens, deadline)
		if p.onDemand {
			b = b.AsBrief()
		}
		out.add(Credit{org: q.org, batch: b})
		q.round.got += g.tokens
	}
	q.recordlessRounds = 0
	if !p.timedOut && !p.poll {
		mgr.continueRound(now, q, out)
	}
}

// continueRound goes on with the round unless half of the need is met.
func (mgr *Desk) continueRound(now model.Instant, q *quota, out *Outbox) {
	if 2*q.round.got >= q.round.want {
		mgr.finishRound(now, q, out)
		return
	}
	mgr.askNext(now, q, nil, out)
}

// handleUpdate takes a record that another desk knows. The answer of another process
// at the address that was asked proves that the process asked has ended: it
// listened there before the ask was sent.
func (mgr *Desk) handleUpdate(now model.Instant, q *quota, u Known, out *Outbox) {
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
	if p.domain != "" && p.to.address == u.sender.address && p.to.incarnation != u.sender.incarnation {
		mgr.Bury(p.to.incarnation)
	}
	if p.timedOut || p.poll {
		return
	}
	if p.domain == "" && len(q.record.leases) > 0 {
		q.round.asked = nil
	}
	mgr.continueRound(now, q, out)
}

// expireAsks gives up asks that were not answered.
func (mgr *Desk) expireAsks(now model.Instant, q *quota, out *Outbox) {
	q.asks = slices.DeleteFunc(q.asks, func(p pendingAsk) bool { return now.Sub(p.sentAt) >= Life })
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

// noteUnanswered notes that a holder did not answer.
func (q *quota) noteUnanswered(now model.Instant, p pendingAsk) {
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
