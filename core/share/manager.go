package share

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Desk is the control state of a daemon's shares: the titles it holds with
// their pots, the records it knows, and its open asks. Its commands read the
// time that they are given; a pause between two commands breaks no promise. It
// is not safe for concurrent use.
type Desk struct {
	self           Holder
	domain         model.Domain
	leaseTTL       time.Duration
	slack          Slack
	rnd            *rand.Rand
	orgs           []model.Org
	quotas         map[model.Org]*quota
	members        []fleet.Member // of the own failure domain, in order of name
	others         []fleet.Member // of the other failure domains
	domains        []model.Domain // with members, in order
	domainsChanged model.Instant  // when domains last changed
	firstMembers   model.Instant  // when members were first known
	membersChanged model.Instant  // when members last changed
	dead           map[model.Incarnation]bool
	leaving        bool
	seq            uint64
	op             uint64
}

// quota is what a desk knows of one organisation.
type quota struct {
	org              model.Org
	rate             float64
	burst            float64
	known            bool // the store or a peer told the record, or that there is none
	version          uint64
	record           Record
	call             storeCall
	nextCall         model.Instant // when the next store call may be made
	held             *heldLease
	vacantSince      model.Instant // since when the domain's title could be claimed, or zero
	challengedSince  model.Instant // since when the domain's title bears a notice, or zero
	memberIndex      int           // the own place in the order of candidates
	domainIndex      int           // the place of the own domain in the order of the domains
	lastRefill       model.Instant // when the purse last needed something
	nextIdleRead     model.Instant // when the record is read again while no title is needed
	lastPoll         model.Instant // when a candidate last asked the holder for a sign of life
	claim            claim
	claimUncertain   bool // whether the claim was written is not known
	failedCalls      int  // store calls in a row without an answer
	round            askRound
	asks             []pendingAsk
	holders          map[model.Domain]holderState
	nextRound        model.Instant // no new round before
	emptyRounds      int           // rounds in a row without a token
	recordlessRounds int           // rounds in a row without a record
}

// storeCall is a store storeCall under way. An op of zero is none.
type storeCall struct {
	op     uint64
	sentAt model.Instant
	record Record // that a swap writes
}

// heldLease is a title that is held.
type heldLease struct {
	bucket      LeaseBucket
	weight      int // in force here, at most that of the record
	confirmedAt model.Instant
	resigned    bool
}

// claim is how the pot of a title starts once the swap that takes it is
// confirmed.
type claim struct {
	serial        uint64 // of the record that the swap writes
	sentAt        model.Instant
	initialTokens float64
	assumed       float64
	addedTokens   float64
	active        bool
}

// holderState is what is known of the holder of a title.
type holderState struct {
	incarnation     model.Incarnation
	level           float64 // tokens left at the last grant
	seenAt          model.Instant
	avoidUntil      model.Instant // until then it is asked only when no other is left
	unanswered      int           // asks in a row without an answer
	unansweredSince model.Instant // when the first of them was sent
}

// Times and bounds of a desk.
const (
	// answerTimeout is how long an answer may take before another is asked.
	answerTimeout = 100 * time.Millisecond
	// onDemandAnswerTimeout is the same while requests wait for the answer.
	onDemandAnswerTimeout = 25 * time.Millisecond
	// avoidanceTime is how long a holder that did not answer is asked last. It
	// doubles with each further ask in vain, so often at most.
	avoidanceTime         = time.Second
	maxAvoidanceDoublings = 3
	// challengeAfter is how long a holder may be silent before it is asked by a
	// notice to show that it lives.
	challengeAfter = 10 * time.Second
	// storeCallTimeout is how long a store call may take before it is given up.
	storeCallTimeout = 10 * time.Second
	// meanStoreRetry is the mean time between two store calls for one record.
	meanStoreRetry = 300 * time.Millisecond
	// maxStoreRetryDoublings is how often that doubles while the store does not answer.
	maxStoreRetryDoublings = 2
	// candidateStep is how much later each next candidate claims a title.
	candidateStep = 700 * time.Millisecond
	// domainsStableTime is how long the membership stands still before a claim.
	domainsStableTime = 300 * time.Millisecond
	// pollInterval is how often a candidate asks the holder for a sign of life.
	pollInterval = 2 * time.Second
	// challengeReadInterval is how often a candidate reads the record while it waits for
	// a holder to remove a notice.
	challengeReadInterval = 2 * time.Second
	// idleReadInterval is the same while the domain needs no title. That changes when
	// a domain goes, which the other holders see.
	idleReadInterval = time.Minute
	// membersStableTime is how long the own domain's members stand still before records
	// are looked for, and quietMost how long that is waited for after the start.
	// Members that start together come to know each other in that time, and
	// only the candidates among them call the store.
	membersStableTime    = 700 * time.Millisecond
	maxMembersStableWait = 2500 * time.Millisecond
	// domainStep is how much later each next domain looks for a record at the
	// start, so that one of them writes it and the others learn it.
	domainStep = 100 * time.Millisecond
	// maxCandidates is how many daemons of a failure domain watch its title.
	maxCandidates = 3
	// minLeaseBurst is the least part of a burst that a title is made for, in tokens.
	minLeaseBurst = 4
	// maxDead is how many ended processes are remembered before those that
	// matter no more are dropped.
	maxDead = 1024
	// renewalsPerTTL is how often in a hold the holder reads the record.
	renewalsPerTTL = 6
)

// NewDesk returns the desk of a daemon. Titles last for hold, or DefaultHold
// when it is zero. The seed spreads calls and numbers asks.
func NewDesk(self Holder, d model.Domain, leaseTTL time.Duration, seed uint64) *Desk {
	if leaseTTL <= 0 {
		leaseTTL = DefaultHold
	}
	rnd := rand.New(rand.NewPCG(seed, uint64(self.incarnation)))
	return &Desk{
		self: self, domain: d, leaseTTL: leaseTTL, rnd: rnd, seq: rnd.Uint64() >> 1,
		quotas: map[model.Org]*quota{}, dead: map[model.Incarnation]bool{},
	}
}

// Configure takes the configuration and the members in force. A lower rate or
// burst counts here at once; lumps that are out lapse within Life.
func (mgr *Desk) Configure(now model.Instant, c *conf.Config, members []fleet.Member) {
	mgr.orgs = slices.DeleteFunc(c.Orgs(), func(name model.Org) bool {
		o, _ := c.Org(name)
		return o.Unbounded()
	})
	for name := range mgr.quotas {
		if !slices.Contains(mgr.orgs, name) {
			delete(mgr.quotas, name)
		}
	}
	for _, name := range mgr.orgs {
		o, _ := c.Org(name)
		q := mgr.quotas[name]
		if q == nil {
			q = &quota{org: name, holders: map[model.Domain]holderState{}, nextCall: now}
			mgr.quotas[name] = q
		}
		q.setQuota(now, o.Rate(), o.Burst())
	}
	mgr.setMembers(now, members)
}

// setQuota sets the organisation's rate and burst.
func (q *quota) setQuota(now model.Instant, rate, burst float64) {
	if q.rate == rate && q.burst == burst {
		return
	}
	q.rate, q.burst = rate, burst
	if q.held != nil {
		q.setWeight(now, q.held.weight)
	}
}

// setWeight puts a weight of the own title in force.
func (q *quota) setWeight(now model.Instant, weight int) {
	q.held.weight = weight
	q.held.bucket.Set(now, q.part(q.rate, weight), q.part(q.burst, weight))
}

func (q *quota) part(amount float64, weight int) float64 { return amount * float64(weight) / Whole }

// setMembers takes the members in force.
func (mgr *Desk) setMembers(now model.Instant, members []fleet.Member) {
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
	mgr.reindex()
}

// reindex finds the own place among the candidates for each title.
func (mgr *Desk) reindex() {
	for _, name := range mgr.orgs {
		q := mgr.quotas[name]
		q.memberIndex, q.domainIndex = mgr.memberIndexOf(name), mgr.domainIndexOf(name)
	}
}

// Bury notes the proof that a process has ended.
func (mgr *Desk) Bury(incarnation model.Incarnation) {
	if incarnation == 0 || incarnation == mgr.self.incarnation || mgr.dead[incarnation] {
		return
	}
	if len(mgr.dead) >= maxDead {
		mgr.pruneDead()
	}
	mgr.dead[incarnation] = true
	mgr.reindex()
}

// pruneDead drops the processes that no title and no member names.
func (mgr *Desk) pruneDead() {
	inUse := map[model.Incarnation]bool{}
	for _, m := range mgr.members {
		inUse[m.Incarnation()] = true
	}
	for _, q := range mgr.quotas {
		for _, lease := range q.record.leases {
			inUse[lease.holder.incarnation] = true
		}
	}
	maps.DeleteFunc(mgr.dead, func(incarnation model.Incarnation, _ bool) bool { return !inUse[incarnation] })
}

// Hear takes a message of another desk.
func (mgr *Desk) Hear(now model.Instant, m Message, out *Outbox) {
	switch m := m.(type) {
	case Ask:
		if q := mgr.quotas[m.org]; q != nil {
			mgr.handleAsk(now, q, m, out)
		}
	case Grant:
		if q := mgr.quotas[m.org]; q != nil {
			mgr.handleGrant(now, q, m, out)
		}
	case Known:
		if q := mgr.quotas[m.org]; q != nil {
			mgr.handleUpdate(now, q, m, out)
		}
	}
}

// Tick does what is due: it asks others when an answer fails to come, and
// keeps and seeks titles.
func (mgr *Desk) Tick(now model.Instant, out *Outbox) {
	for _, name := range mgr.orgs {
		q := mgr.quotas[name]
		mgr.expireAsks(now, q, out)
		mgr.maintain(now, q, out)
	}
}

// Resign begins the planned stop: no more tokens are issued, and the titles are
// left vacant in the record.
func (mgr *Desk) Resign(now model.Instant, out *Outbox) {
	mgr.leaving = true
	for _, name := range mgr.orgs {
		q := mgr.quotas[name]
		q.nextCall = now
		mgr.maintain(now, q, out)
	}
}

func (mgr *Desk) send(now model.Instant, to Holder, m Message, out *Outbox) {
	if to.incarnation == mgr.self.incarnation {
		mgr.Hear(now, m, out)
		return
	}
	out.add(Send{address: to.address, message: m})
}

func (mgr *Desk) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(mgr.rnd.Int64N(int64(mean)))
}
