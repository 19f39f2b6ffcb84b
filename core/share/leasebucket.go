package share

import (
	"time"

	"anvilstand/core/model"
)

// LeaseBucket is the token bucket of one title. At all times the tokens in it and the
// tokens outstanding are together at most its cap. The zero value is empty and
// allows nothing. It is not safe for concurrent use.
type LeaseBucket struct {
	rate         float64 // tokens a second
	capacity     float64 // tokens
	level        float64 // tokens
	filledAt     model.Instant
	issued       map[uint64]outstandingBatch
	ids          []uint64 // ids of issued lumps, the oldest first
	onDemandIDs  []uint64 // the same of those that live for Brief
	outstanding  int      // tokens issued, neither spent nor lapsed
	assumed      float64  // tokens that a predecessor may have issued
	assumedUntil model.Instant
	lastID       uint64
}

// outstandingBatch is a lump that is outstanding.
type outstandingBatch struct {
	remaining int
	spent     int
	expires   model.Instant
}

// IssuedBatch is what a pot issued at one command.
type IssuedBatch struct {
	id     uint64
	tokens int
}

// ID returns the id of the lump.
func (g IssuedBatch) ID() uint64 { return g.id }

// Tokens returns the tokens of the lump, or zero.
func (g IssuedBatch) Tokens() int { return g.tokens }

// minClockRate is the part of a clock's elapsed time that has passed for certain.
const minClockRate = 1 - model.DriftBound/100.0

// Open starts the pot of a title that was just gained. A part of the cap,
// assumed, counts as outstanding until the given time: a predecessor may have
// issued it. Lumps are numbered from last.
func (b *LeaseBucket) Open(now model.Instant, level, assumed float64, assumedUntil model.Instant, lastID uint64) {
	b.advance(now)
	b.lastID = lastID
	b.assumed, b.assumedUntil = assumed, assumedUntil
	b.level = min(level, b.room())
}

// Set changes the rate, in tokens a second, and the cap, in tokens. Tokens that
// no longer fit are lost.
func (b *LeaseBucket) Set(now model.Instant, rate, capacity float64) {
	b.advance(now)
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, b.room())
}

// Add puts tokens into the pot, as far as they fit.
func (b *LeaseBucket) Add(now model.Instant, tokens float64) {
	b.advance(now)
	b.level = min(b.level+tokens, b.room())
}

// Issue takes up to want tokens out of the pot as a lump. It stays zero when
// there are none.
func (b *LeaseBucket) Issue(now model.Instant, want int, g *IssuedBatch) {
	if b.issue(now, want, Life, g) {
		b.ids = append(b.ids, b.lastID)
	}
}

// IssueOnDemand does the same with a lump that lives for Brief.
func (b *LeaseBucket) IssueOnDemand(now model.Instant, want int, g *IssuedBatch) {
	if b.issue(now, want, Brief, g) {
		b.onDemandIDs = append(b.onDemandIDs, b.lastID)
	}
}

// issue reports whether there was a token.
func (b *LeaseBucket) issue(now model.Instant, want int, ttl time.Duration, g *IssuedBatch) bool {
	b.advance(now)
	n := min(want, max(1, int(b.level/2)), int(b.level))
	if n <= 0 {
		return false
	}
	b.lastID++
	if b.issued == nil {
		b.issued = map[uint64]outstandingBatch{}
	}
	b.issued[b.lastID] = outstandingBatch{remaining: n, expires: now.Add(model.Guard(ttl))}
	b.level -= float64(n)
	b.outstanding += n
	g.id, g.tokens = b.lastID, n
	return true
}

// Report takes a report on a lump. Reports may come doubled and out of order; one
// on a lump that has lapsed changes nothing.
func (b *LeaseBucket) Report(now model.Instant, u Use) {
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

// advance lets time pass: lumps lapse, and tokens accrue.
func (b *LeaseBucket) advance(now model.Instant) {
	b.expire(now)
	elapsed := now.Sub(b.filledAt)
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	gain := b.rate * elapsed.Seconds() * minClockRate
	b.level = max(0, min(b.level+gain, b.room()))
}

func (b *LeaseBucket) expire(now model.Instant) {
	if b.assumed > 0 && !now.Before(b.assumedUntil) {
		b.assumed = 0
	}
	b.ids = b.expireOldest(now, b.ids)
	b.onDemandIDs = b.expireOldest(now, b.onDemandIDs)
}

// expireOldest ends the lumps that have lapsed, and returns those that have not.
func (b *LeaseBucket) expireOldest(now model.Instant, ids []uint64) []uint64 {
	for len(ids) > 0 {
		batch, ok := b.issued[ids[0]]
		if ok && now.Before(batch.expires) {
			return ids
		}
		b.outstanding -= batch.remaining
		delete(b.issued, ids[0])
		ids = ids[1:]
	}
	return ids
}

// room returns what the pot may hold beside what is outstanding.
func (b *LeaseBucket) room() float64 { return max(0, b.capacity-float64(b.outstanding)-b.assumed) }
