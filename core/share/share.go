// Package share holds each organisation to its rate and burst over the whole
// fleet, without agreement among the daemons.
//
// An organisation's rate and burst are split by weight among a few titles, one
// a failure domain. The daemon that holds a title keeps a token bucket, the
// Pot, and issues lumps of tokens that live for Life. Daemons spend from their
// Purse and report what they spent. The Desk is a daemon's control state: the
// titles it holds, and what it asks of other holders.
package share

import (
	"time"

	"anvilstand/core/model"
)

// Times and bounds of the protocol.
const (
	// Life is how long the taker of a lump may spend it, from before it asked.
	Life = 2 * time.Second
	// Brief is the same for a lump that is asked for because of requests that
	// wait. What is spent of it is not reported.
	Brief = 150 * time.Millisecond
	// Whole is the sum of all weights: a weight is a number of millionths.
	Whole = 1_000_000
	// DefaultHold is how long a title lasts after its holder last found itself
	// in the record.
	DefaultHold = time.Hour
	// Tick is the time between two calls of Desk.Tick.
	Tick = 25 * time.Millisecond
)

// Holder is a process that takes part: the daemon's name, the address where
// peers reach it, and the incarnation that tells it from others of that name.
type Holder struct {
	name        model.Instance
	address     string
	incarnation model.Incarnation
}

// NewHolder returns a holder.
func NewHolder(name model.Instance, address string, incarnation model.Incarnation) Holder {
	return Holder{name: name, address: address, incarnation: incarnation}
}

// Name returns the daemon's name.
func (h Holder) Name() model.Instance { return h.name }

// Address returns where peers reach the daemon, as host:port.
func (h Holder) Address() string { return h.address }

// Process returns the daemon's incarnation, or zero for a vacant title.
func (h Holder) Process() model.Incarnation { return h.incarnation }

// Lump is an amount of tokens that a holder issued.
type Lump struct {
	holder   Holder
	id       uint64
	tokens   int
	deadline model.Instant
	ttl      time.Duration // from before it was asked for
}

// NewLump returns a lump that its taker may spend until the deadline, which is
// Life after it asked.
func NewLump(h Holder, id uint64, tokens int, deadline model.Instant) Lump {
	return Lump{holder: h, id: id, tokens: tokens, deadline: deadline, ttl: Life}
}

// AsBrief returns the lump as one whose deadline is Brief after it was asked
// for.
func (b Lump) AsBrief() Lump {
	b.ttl = Brief
	return b
}

// Use tells the holder of a lump how much of it is spent. A closed lump is
// spent no further, and the rest goes back.
type Use struct {
	id     uint64
	spent  int
	closed bool
}

// NewUse returns a report on a lump.
func NewUse(id uint64, spent int, closed bool) Use { return Use{id: id, spent: spent, closed: closed} }

// ID returns the lump's id, which its holder gave.
func (u Use) ID() uint64 { return u.id }

// Spent returns the tokens spent so far.
func (u Use) Spent() int { return u.spent }

// Closed reports whether the rest of the lump goes back.
func (u Use) Closed() bool { return u.closed }
