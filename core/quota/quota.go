// Package quota enforces each organisation's rate and burst over the whole
// fleet, without consensus among the daemons.
//
// An organisation's rate and burst are split by weight among a few quota
// leases, one per failure domain. The leases are in a record in the store, which
// is changed by compare-and-swap. The daemon that holds a lease runs a token
// bucket for it, the LeaseBucket, and grants batches of tokens that expire after
// BatchTTL. Each daemon spends tokens from its TokenCache and reports their
// usage to the holder.
//
// The Manager is the control state of a daemon: the leases it holds, the records
// it knows, and its asks to other holders. Leases are bounded in time: a holder
// grants tokens only while it has lately seen itself in the record. The
// candidates for a lease are the maxCandidates members of its domain that rank
// first by rendezvous hashing. A candidate, or a member whose own requests need
// tokens, takes the lease over when the holder has resigned, is proven to have
// ended, or has left a challenge in the record unanswered for the lifetime of a
// lease. Until the predecessor's batches have expired, the tokens that it may have
// issued count as outstanding, less a part of the Slack. Clocks may drift by
// model.MaxDriftPercent.
//
// The package does no I/O: a Manager adds Actions to an Outbox, and the caller
// sends the messages and makes the store calls.
package quota

import (
	"time"

	"anvilstand/core/model"
)

// Times and bounds of the protocol.
const (
	// BatchTTL is how long a batch may be spent, counted from when the receiver
	// sent its ask.
	BatchTTL = 2 * time.Second
	// OnDemandTTL is the same for an on-demand batch, which is asked for
	// because requests wait. A batch that is spent whole is not reported: the
	// holder counts it as spent. Unspent tokens are returned like those of other
	// batches.
	OnDemandTTL = 150 * time.Millisecond
	// FullWeight is the sum of all weights in a record. A weight is the part of
	// rate and burst that a lease has, in millionths.
	FullWeight = 1_000_000
	// DefaultLeaseTTL is how long a lease is valid after its holder last saw
	// itself in the record.
	DefaultLeaseTTL = time.Hour
	// TickInterval is the time between two calls of Manager.Tick.
	TickInterval = 25 * time.Millisecond
)

// Holder is a daemon process that may hold leases: the daemon's name, the
// address where peers reach it, and the incarnation that distinguishes the
// process from others of the same name.
type Holder struct {
	name        model.Instance
	address     string
	incarnation model.Incarnation
}

// NewHolder returns a holder. The address is host:port.
func NewHolder(name model.Instance, address string, incarnation model.Incarnation) Holder {
	return Holder{name: name, address: address, incarnation: incarnation}
}

// Name returns the daemon's name, or an empty one for a vacant lease.
func (h Holder) Name() model.Instance { return h.name }

// Address returns the host:port where peers reach the daemon.
func (h Holder) Address() string { return h.address }

// Incarnation returns the incarnation of the process, or zero for a vacant
// lease.
func (h Holder) Incarnation() model.Incarnation { return h.incarnation }

// Batch is a number of tokens that a holder granted to one daemon.
type Batch struct {
	holder   Holder
	id       uint64
	tokens   int
	deadline model.Instant
	ttl      time.Duration // BatchTTL or OnDemandTTL, counted from the ask
}

// NewBatch returns a batch that may be spent until the deadline, which is
// BatchTTL after the ask was sent.
func NewBatch(h Holder, id uint64, tokens int, deadline model.Instant) Batch {
	return Batch{holder: h, id: id, tokens: tokens, deadline: deadline, ttl: BatchTTL}
}

// AsOnDemand returns the batch as an on-demand one, whose deadline is
// OnDemandTTL after the ask was sent.
func (b Batch) AsOnDemand() Batch {
	b.ttl = OnDemandTTL
	return b
}

// Usage reports to the holder of a batch how many of its tokens are spent. Once
// a batch is closed nothing more is spent of it, and the unspent tokens return
// to the holder's bucket.
type Usage struct {
	id     uint64
	spent  int
	closed bool
}

// NewUsage returns the report on a batch: all tokens spent of it so far, and
// whether it is closed.
func NewUsage(id uint64, spent int, closed bool) Usage {
	return Usage{id: id, spent: spent, closed: closed}
}

// ID returns the id that the holder gave to the batch.
func (u Usage) ID() uint64 { return u.id }

// Spent returns the tokens spent so far, those of earlier reports included.
func (u Usage) Spent() int { return u.spent }

// Closed reports whether the unspent tokens return to the holder.
func (u Usage) Closed() bool { return u.closed }
