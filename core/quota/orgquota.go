package quota

import "anvilstand/core/model"

// orgQuota is what a Manager knows about one organisation.
type orgQuota struct {
	org              model.Org
	rate             float64 // tokens a second, of the whole organisation
	burst            float64 // tokens, of the whole organisation
	known            bool    // the store or a peer sent the record, or said that there is none
	version          uint64
	record           Record
	mayBeLost        bool          // the store was restored since it may have had a record
	rebuildOver      uint64        // version of the older record in the store that record has to replace, or zero
	call             storeCall     // the store call under way
	nextCall         model.Instant // no store call before
	held             *heldLease    // the lease held by this daemon, or nil
	vacantSince      model.Instant // when the lease to claim or free was first seen vacant or missing, or zero
	challengedSince  model.Instant // when the challenge of the domain's lease was first seen, or zero
	lapsedSince      model.Instant // when the holder of the domain's lease was first known to have lapsed, or zero
	holderSince      model.Instant // when the holder of the domain's lease was first seen, or last removed a challenge
	refuted          int           // challenges that this holder has removed without having been heard from
	deniedSince      model.Instant // when the holder of the domain's lease first answered that it grants nothing, or zero
	deniedAt         model.Instant // when the last ask was sent that it answered so
	contenders       contenders    // for the lease held here
	memberIndex      int           // place of this daemon among the domain's members (see score), from 0
	domainIndex      int           // place of this daemon's domain (see score), from 0
	lastRefill       model.Instant // when the token cache last asked or reported
	nextIdleRead     model.Instant // when to read the record again while no lease is needed
	lastPoll         model.Instant // when a candidate last checked that the holder is alive
	pendingSwap      pendingSwap   // the last swap sent, until a newer record is adopted
	awaitsUpdate     bool          // the last swap failed, and the record that won has not come
	swapUncertain    bool          // it is not known whether that swap took effect
	failedCalls      int           // consecutive store calls without an answer
	round            askRound
	asks             []pendingAsk                 // those that may still be answered
	holders          map[model.Domain]holderState // by the lease's domain
	nextRound        model.Instant                // no round of asks before
	backoffDoublings int                          // one more after a round without a token, one less after one with tokens
	recordlessRounds int                          // rounds that asked for the record since the last grant
}

// storeCall is a store call under way, or none when op is zero.
type storeCall struct {
	op     uint64
	sentAt model.Instant
	record Record // to be written by a swap
}

// heldLease is a lease that this daemon holds.
type heldLease struct {
	bucket      LeaseBucket
	weight      int           // in force here, at most that in the record
	confirmedAt model.Instant // when the last call that found it in the record was sent
	// renewedUntil is when the lease lapses, unless it is renewed again.
	renewedUntil model.Instant
	resigned     bool
	origin       Origin
	predecessor  Holder // the zero Holder if there was none, or it resigned
}

// pendingSwap is a swap that was sent, and what it does to the lease's bucket once
// it is confirmed: a swap that gains a lease fills a new bucket, one that gains
// weight adds tokens, any other adds nothing.
type pendingSwap struct {
	serial        uint64 // of the record that the swap writes
	sentAt        model.Instant
	initialTokens float64 // tokens in the bucket of a new lease
	assumed       float64 // tokens that a predecessor may have issued
	addedTokens   float64 // tokens for the weight that was gained
	origin        Origin  // of a new lease
	predecessor   Holder  // of a new lease
	active        bool
}

// holderState is what is known about the holder of a lease.
type holderState struct {
	incarnation     model.Incarnation
	level           float64       // tokens left in its bucket at the last grant
	seenAt          model.Instant // when the last grant came
	avoidUntil      model.Instant // until then it is asked only if there is no other
	unanswered      int           // consecutive asks without an answer
	unansweredSince model.Instant // when the first of these was sent
}

// setQuota sets the organisation's rate, in tokens a second, and burst, in
// tokens.
func (q *orgQuota) setQuota(now model.Instant, rate, burst float64) {
	if q.rate == rate && q.burst == burst {
		return
	}
	q.rate, q.burst = rate, burst
	if q.held != nil {
		q.setWeight(now, q.held.weight)
	}
}

// setWeight puts a weight of the lease held here, in millionths, in force.
func (q *orgQuota) setWeight(now model.Instant, weight int) {
	q.held.weight = weight
	q.held.bucket.Set(now, q.part(q.rate, weight), q.part(q.burst, weight))
}

// part returns a weight's part of an amount.
func (q *orgQuota) part(amount float64, weight int) float64 {
	return amount * float64(weight) / FullWeight
}
