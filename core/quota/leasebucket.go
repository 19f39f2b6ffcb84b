package quota

import (
	"time"

	"anvilstand/core/model"
)

// LeaseBucket is the token bucket of one lease. Invariant: the tokens in it and
// the outstanding tokens together never exceed its capacity, except that after
// the capacity was lowered the outstanding tokens alone may exceed it until
// they expire. The zero value is empty and issues nothing. It is not safe for
// concurrent use.
type LeaseBucket struct {
	rate         float64                     // tokens a second
	capacity     float64                     // tokens
	level        float64                     // tokens
	filledAt     model.Instant               // when tokens were last added
	issued       map[uint64]outstandingBatch // by batch id
	ids          []uint64                    // of issued batches, the oldest first
	onDemandIDs  []uint64                    // the same for on-demand batches, which expire sooner
	outstanding  int                         // tokens issued, neither reported as spent, nor returned, nor expired
	assumed      float64                     // tokens that a predecessor may have issued
	assumedUntil model.Instant
	lastID       uint64 // of the last batch issued
}

// outstandingBatch is a batch that is neither closed nor expired.
type outstandingBatch struct {
	remaining int // tokens not reported as spent
	spent     int // tokens reported as spent
	expires   model.Instant
}

// IssuedBatch is a batch as its bucket issued it; a Grant carries it to the
// daemon that asked. The zero value means that there was no token.
type IssuedBatch struct {
	id     uint64
	tokens int
}

// ID returns the id of the batch, or zero without one.
func (i IssuedBatch) ID() uint64 { return i.id }

// Tokens returns the tokens of the batch, or zero.
func (i IssuedBatch) Tokens() int { return i.tokens }

// minClockRate is the least true time that passes per unit of this clock, which
// may run fast by the drift bound. The bucket fills by it, so that a fast clock
// adds no tokens beyond the rate.
const minClockRate = 1 - model.MaxDriftPercent/100.0

// Open starts the bucket of a lease that was just gained, with up to level
// tokens. The tokens assumed count as outstanding until assumedUntil, because a
// predecessor may have issued them. Batch ids start after lastID.
func (b *LeaseBucket) Open(now model.Instant, level, assumed float64, assumedUntil model.Instant, lastID uint64) {
	b.advance(now)
	b.lastID = lastID
	b.assumed, b.assumedUntil = assumed, assumedUntil
	b.level = min(level, b.room())
}

// Set changes the rate, in tokens a second, and the capacity, in tokens. Tokens
// that no longer fit are lost.
func (b *LeaseBucket) Set(now model.Instant, rate, capacity float64) {
	b.advance(now)
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, b.room())
}

// Add adds tokens, as far as they fit.
func (b *LeaseBucket) Add(now model.Instant, tokens float64) {
	b.advance(now)
	b.level = min(b.level+tokens, b.room())
}

// Issue issues a batch of up to want tokens, at most half of the level unless
// that is less than one token. Without a token, out stays as it is.
func (b *LeaseBucket) Issue(now model.Instant, want int, out *IssuedBatch) {
	if b.issue(now, want, BatchTTL, out) {
		b.ids = append(b.ids, b.lastID)
	}
}

// IssueOnDemand does the same for an on-demand batch, which expires after
// OnDemandTTL.
func (b *LeaseBucket) IssueOnDemand(now model.Instant, want int, out *IssuedBatch) {
	if b.issue(now, want, OnDemandTTL, out) {
		b.onDemandIDs = append(b.onDemandIDs, b.lastID)
	}
}

// issue reports whether there was a token to issue. The batch expires here
// later than at its receiver, whatever the drift of the two clocks.
func (b *LeaseBucket) issue(now model.Instant, want int, ttl time.Duration, out *IssuedBatch) bool {
	b.advance(now)
	n := min(want, max(1, int(b.level/2)), int(b.level))
	if n <= 0 {
		return false
	}
	b.lastID++
	if b.issued == nil {
		b.issued = map[uint64]outstandingBatch{}
	}
	b.issued[b.lastID] = outstandingBatch{remaining: n, expires: now.Add(model.WithDrift(ttl))}
	b.level -= float64(n)
	b.outstanding += n
	out.id, out.tokens = b.lastID, n
	return true
}

// Report applies a usage report. Reports may be duplicated and reordered; one
// on an expired batch changes nothing.
func (b *LeaseBucket) Report(now model.Instant, u Usage) {
	b.advance(now)
	batch, ok := b.issued[u.id]
	if !ok || u.spent > batch.spent+batch.remaining || u.spent < batch.spent {
		return
	}
	n := u.spent - batch.spent
	batch.spent, batch.remaining = u.spent, batch.remaining-n
	b.outstanding -= n
	if u.closed {
		b.outstanding -= batch.remaining
		b.level = min(b.level+float64(batch.remaining), b.room())
		delete(b.issued, u.id)
		return
	}
	b.issued[u.id] = batch
}

// advance brings the bucket to the present: batches expire and tokens accrue, in the order
// of time, since there is more room for tokens after each expiry.
func (b *LeaseBucket) advance(now model.Instant) {
	for at, ok := b.nextExpiry(); ok && !now.Before(at); at, ok = b.nextExpiry() {
		b.accrue(at)
		b.expire(at)
	}
	b.accrue(now)
}

// accrue adds the tokens that accrued until a time, as far as they fit.
func (b *LeaseBucket) accrue(until model.Instant) {
	elapsed := until.Sub(b.filledAt)
	if elapsed <= 0 {
		return
	}
	b.filledAt = until
	gain := b.rate * elapsed.Seconds() * minClockRate
	b.level = max(0, min(b.level+gain, b.room()))
}

// nextExpiry returns when the next of the outstanding tokens expire. It returns false if
// there are none. Closed batches at the heads of the lists are dropped.
func (b *LeaseBucket) nextExpiry() (model.Instant, bool) {
	next, ok := b.assumedUntil, b.assumed > 0
	b.ids, b.onDemandIDs = b.dropClosed(b.ids), b.dropClosed(b.onDemandIDs)
	for _, ids := range [][]uint64{b.ids, b.onDemandIDs} {
		if len(ids) == 0 {
			continue
		}
		if at := b.issued[ids[0]].expires; !ok || at < next {
			next, ok = at, true
		}
	}
	return next, ok
}

// dropClosed returns the ids without the closed batches at the head, which are no longer in
// b.issued.
func (b *LeaseBucket) dropClosed(ids []uint64) []uint64 {
	for len(ids) > 0 {
		if _, ok := b.issued[ids[0]]; ok {
			break
		}
		ids = ids[1:]
	}
	return ids
}

func (b *LeaseBucket) expire(now model.Instant) {
	if b.assumed > 0 && !now.Before(b.assumedUntil) {
		b.assumed = 0
	}
	b.ids = b.expireOldest(now, b.ids)
	b.onDemandIDs = b.expireOldest(now, b.onDemandIDs)
}

// expireOldest drops the expired and closed batches at the head of the list, and
// returns the rest.
func (b *LeaseBucket) expireOldest(now model.Instant, ids []uint64) []uint64 {
	for ids = b.dropClosed(ids); len(ids) > 0; ids = b.dropClosed(ids) {
		batch := b.issued[ids[0]]
		if now.Before(batch.expires) {
			return ids
		}
		b.outstanding -= batch.remaining
		delete(b.issued, ids[0])
	}
	return ids
}

// room returns the tokens that the bucket may contain beside the outstanding
// ones.
func (b *LeaseBucket) room() float64 { return max(0, b.capacity-float64(b.outstanding)-b.assumed) }
