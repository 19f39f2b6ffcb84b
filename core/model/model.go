// Package model holds the identifiers and small values that every other
// package speaks in.
package model

import "time"

// Org names an organisation, the unit that keys, rates and bursts belong to.
type Org string

// Domain names a failure domain.
type Domain string

// Service names a service, a set of interchangeable targets.
type Service string

// Instance names a target instance and the daemon beside it.
type Instance string

// Incarnation is a number that a process of the system draws at its start, so
// that two processes under one name or address are told apart. Zero is not
// known.
type Incarnation uint64

// Revision numbers a change of the configuration. Zero is the empty
// configuration.
type Revision uint64

// Op identifies one operation of an operator, so that it is applied once.
type Op string

// Request identifies a request along its whole call chain.
type Request string

// Print is a fingerprint of a request: what makes it the same one when it is
// sent again.
type Print uint64

// Rank orders requests by importance. Zero is the most important and is shed
// last.
type Rank uint8

// Ranks of the closed range that the configuration accepts.
const (
	RankTop     Rank = 0
	RankDefault Rank = 4
	RankLowest  Rank = 7
)

// Instant is a point on a process's monotonic clock, in nanoseconds since an
// origin of the process's own. Instants of two processes do not compare.
type Instant int64

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// DriftBound is the largest relative difference between the clocks of two
// processes, in parts of a hundred.
const DriftBound = 1

// Guard lengthens d by the clock drift bound. A party that waits for a peer's
// deadline of d waits Guard(d) by its own clock.
func Guard(d time.Duration) time.Duration { return d + 2*d*DriftBound/100 }
