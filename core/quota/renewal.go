package quota

import (
	"time"

	"anvilstand/core/model"
)

// Times of the renewal of a lease. A holder grants tokens only while its lease is
// renewed, besides the limit of leaseTTL since it last saw itself in the record.
const (
	// storeRenewalTTL is how long a lease is renewed by a store call that found it in
	// the record without a challenge, counted from when the call was sent.
	storeRenewalTTL = 6 * time.Second
	// storeRenewalMargin is the remaining time from which on the record is read, because
	// the contenders do not renew the lease.
	storeRenewalMargin = storeRenewalTTL / 2
	// challengeAfter is how long a holder may be silent before a contender writes a
	// challenge to the record. Each challenge that the holder removes without having
	// been heard from doubles it, at most maxChallengeDoublings times.
	challengeAfter        = 4 * time.Second
	maxChallengeDoublings = 3
	// peerRenewalTTL is how long a lease is renewed by the answers of all contenders,
	// counted from when the oldest ask of them was sent. A contender that has heard from
	// the holder does not take its lease over in that time.
	peerRenewalTTL = challengeAfter + storeRenewalTTL
	// contactInterval is the time between two asks of a holder for a contender's answer.
	contactInterval = 2 * time.Second
	// maxContenders is how many members of a domain may take over the lease of a holder
	// that lapsed. The holder asks each of them for answers.
	maxContenders = 7
	// contenderStep is how much later each further contender challenges a holder and
	// takes its lease over.
	contenderStep = 100 * time.Millisecond
	// listingTime is how long after its domain's list has named it a process is taken
	// to be known to the holder, which then asks it for answers.
	listingTime = 1500 * time.Millisecond
)

// peerState is what a Manager knows of its exchange with the process at an address.
type peerState struct {
	incarnation model.Incarnation // that sent the last message
	heardAt     model.Instant     // when that message came
	askedAt     model.Instant     // when this daemon last asked it for an answer
	answeredAt  model.Instant     // when the newest ask that it answered was sent, or zero
}

// contenders are the processes whose answers renew a lease: those that could take it
// over. The zero value has none.
type contenders struct {
	addresses []string
	anyOne    bool // the answer of one of them is enough
}

// contendersOf returns the contenders for a lease held by this daemon. They are the first
// members of its domain. A holder that is alone in its domain needs contact with any
// other domain, since a process that comes to its domain is known there.
func (mgr *Manager) contendersOf(q *orgQuota) contenders {
	var c contenders
	for _, m := range mgr.membersByScore(q.org) {
		if m.Address() != mgr.self.address && len(c.addresses) < maxContenders {
			c.addresses = append(c.addresses, m.Address())
		}
	}
	if len(c.addresses) > 0 {
		return c
	}
	c.anyOne = true
	for _, m := range mgr.firstCandidates(q.org) {
		c.addresses = append(c.addresses, m.Address())
	}
	return c
}

// contenderIndex returns the place of this daemon among the contenders for the lease of
// another holder in its domain, from 0.
func (mgr *Manager) contenderIndex(org model.Org, holder Holder) int {
	own := score(org, string(mgr.self.name))
	n := 0
	for _, m := range mgr.members {
		isOther := m.Address() != holder.address && m.Address() != mgr.self.address
		if isOther && score(org, string(m.Name())) > own {
			n++
		}
	}
	return n
}

// isContender reports whether this daemon may take over the lease of a holder in its
// domain that lapsed. One that is not listed is not: the holder cannot know of it.
func (mgr *Manager) isContender(q *orgQuota, holder Holder) bool {
	return mgr.listedSince != 0 && mgr.contenderIndex(q.org, holder) < maxContenders
}

// isRenewed reports whether the lease held here is renewed. That of a daemon that knows no
// other need not be.
func (mgr *Manager) isRenewed(now model.Instant, q *orgQuota) bool {
	return now.Before(q.held.renewedUntil) || len(q.contenders.addresses) == 0
}

// renewByPeers renews the lease held here by the answers of the contenders. A lease that
// has lapsed may have been taken over, so only the store renews it.
func (mgr *Manager) renewByPeers(now model.Instant, q *orgQuota) {
	if !now.Before(q.held.renewedUntil) {
		return
	}
	answeredAt := mgr.answeredAt(q.contenders)
	if answeredAt != 0 {
		q.held.renewedUntil = max(q.held.renewedUntil, answeredAt.Add(peerRenewalTTL))
	}
}

// answeredAt returns when the ask was sent that the contenders have answered: the oldest
// of their newest ones, or the newest if one is enough. It is zero without such an ask.
func (mgr *Manager) answeredAt(c contenders) model.Instant {
	var oldest, newest model.Instant
	for i, address := range c.addresses {
		at := mgr.peers[address].answeredAt
		if i == 0 || at < oldest {
			oldest = at
		}
		newest = max(newest, at)
	}
	if c.anyOne {
		return newest
	}
	return oldest
}

// askContenders asks the contenders for a lease held here for an answer, unless they have
// lately been asked or the store has lately renewed the lease.
func (mgr *Manager) askContenders(now model.Instant, q *orgQuota, out *Outbox) {
	if now.Sub(q.held.confirmedAt) < contactInterval {
		return
	}
	for _, address := range q.contenders.addresses {
		p := mgr.peers[address]
		if p.askedAt != 0 && now.Sub(p.askedAt) < contactInterval {
			continue
		}
		p.askedAt = now
		mgr.peers[address] = p
		mgr.seq++
		q.asks = append(q.asks, pendingAsk{seq: mgr.seq, to: Holder{address: address}, sentAt: now, poll: true})
		out.add(Send{address: address, message: NewAsk(q.org, mgr.seq, mgr.self, 0, q.version, 0, nil)})
	}
}

// noteHeard records that a message of another process has come.
func (mgr *Manager) noteHeard(now model.Instant, from Holder) {
	if from.address == "" || from.incarnation == mgr.self.incarnation {
		return
	}
	p := mgr.peers[from.address]
	p.incarnation, p.heardAt = from.incarnation, now
	mgr.peers[from.address] = p
}

// noteAnswer records that the process at an address has answered an ask, so that it has
// heard from this daemon.
func (mgr *Manager) noteAnswer(p pendingAsk) {
	peer := mgr.peers[p.to.address]
	peer.answeredAt = max(peer.answeredAt, p.sentAt)
	mgr.peers[p.to.address] = peer
}

// maxPeers is how many addresses are kept before those that no member and no lease has are
// dropped.
const maxPeers = 2048

// prunePeers drops the addresses that no member and no lease of this domain has.
func (mgr *Manager) prunePeers() {
	if len(mgr.peers) < maxPeers {
		return
	}
	kept := map[string]peerState{}
	keep := func(address string) {
		if p, ok := mgr.peers[address]; ok {
			kept[address] = p
		}
	}
	for _, m := range mgr.members {
		keep(m.Address())
	}
	for _, q := range mgr.quotas {
		lease, _ := q.record.Lease(mgr.domain)
		keep(lease.holder.address)
		for _, address := range q.contenders.addresses {
			keep(address)
		}
	}
	mgr.peers = kept
}

// holderSilence returns how long the holder of this domain's lease has not been heard
// from. It counts from when this daemon learned of the holder, or was known to it, if
// that was later.
func (mgr *Manager) holderSilence(now model.Instant, q *orgQuota, holder Holder) time.Duration {
	since := max(q.holderSince, mgr.listedSince.Add(listingTime))
	if p := mgr.peers[holder.address]; p.incarnation == holder.incarnation {
		since = max(since, p.heardAt)
	}
	return now.Sub(since)
}

// hasLapsed reports whether a challenged lease is no longer renewed: by the clock of this
// daemon, whose answers the holder needs, or by the holder's own word, since only the
// store renews a lease that has lapsed. Holders that do not follow the renewals have the
// whole lifetime of a lease.
func (mgr *Manager) hasLapsed(now model.Instant, q *orgQuota, lease Lease) bool {
	if !lease.renewable || !mgr.isContender(q, lease.holder) {
		return false
	}
	// The store no longer renews the lease once the challenge has stood for that time.
	unrenewedSince := q.challengedSince.Add(model.WithDrift(storeRenewalTTL))
	if now.Before(unrenewedSince) {
		return false
	}
	if q.deniedSince != 0 && !q.deniedAt.Before(unrenewedSince) {
		return true
	}
	delay := time.Duration(mgr.contenderIndex(q.org, lease.holder)) * contenderStep
	return mgr.holderSilence(now, q, lease.holder) >= model.WithDrift(peerRenewalTTL)+delay
}

// takeOverLapsed takes over a lease that has lapsed, once the store has confirmed since then
// that its list names this daemon. If the list no longer does, the holder may have ceased
// to ask this daemon for answers before the lease lapsed.
func (mgr *Manager) takeOverLapsed(now model.Instant, q *orgQuota, lease Lease, out *Outbox) {
	if q.lapsedSince == 0 {
		q.lapsedSince = now
	}
	if mgr.listing.confirmedAt < q.lapsedSince {
		mgr.confirmListing(now, out)
		return
	}
	mgr.takeOver(now, q, lease, Lapsed{}, out)
}

// listing is the reading of the domain's member list that confirms that it names this
// daemon.
type listing struct {
	op          uint64        // of the call under way, or zero
	sentAt      model.Instant // of that call
	confirmedAt model.Instant // when the last call that was answered was sent, or zero
	nextCall    model.Instant // no call before
}

// confirmListing reads the member list, unless that is under way or has just failed.
func (mgr *Manager) confirmListing(now model.Instant, out *Outbox) {
	l := &mgr.listing
	if now.Before(l.nextCall) || (l.op != 0 && now.Sub(l.sentAt) < storeCallTimeout) {
		return
	}
	mgr.op++
	l.op, l.sentAt = mgr.op, now
	out.add(ReadMembers{op: mgr.op})
}

// HandleMembersRead handles the end of a ReadMembers, after Configure has been called with
// the list that was read, if there was an answer.
func (mgr *Manager) HandleMembersRead(now model.Instant, op uint64, answered bool) {
	l := &mgr.listing
	if l.op != op {
		return
	}
	l.op = 0
	if !answered {
		l.nextCall = now.Add(mgr.jitter(meanStoreRetry))
		return
	}
	l.confirmedAt = l.sentAt
}
