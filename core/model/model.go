// Package model defines the identifiers and small value types that the other
// packages share: names, ranks, calls, and the reasons of refusals.
package model

import "time"

// Org is the name of an organisation: the owner of keys, a rate and a burst.
type Org string

// Domain is the name of a failure domain.
type Domain string

// Service is the name of a service, a set of interchangeable targets.
type Service string

// Instance is the name of a target instance and of the daemon beside it.
type Instance string

// Incarnation is a random number that a daemon or other process of the system
// draws when it starts. It tells apart two processes that ran under the same name
// or address. Zero means that the incarnation is not known.
type Incarnation uint64

// Revision is the number of a change of the configuration, and of the
// configuration that the change leads to. Zero is the empty configuration.
type Revision uint64

// Op is the id of an operator's command. A command that is sent again under the
// same id is applied once.
type Op string

// Request is the id of a request, the same along its whole call chain.
type Request string

// Fingerprint is the fingerprint of a request: a hash that is the same when the same
// request is sent again.
type Fingerprint uint64

// Rank is a request's priority. Zero is the highest priority and is shed last.
type Rank uint8

// Highest, default and lowest rank that the configuration accepts.
const (
	RankHighest Rank = 0
	RankDefault Rank = 4
	RankLowest  Rank = 7
)

// Instant is a reading of a process's monotonic clock, in nanoseconds since an
// origin that each process sets for itself. Instants of two processes do not
// compare.
type Instant int64

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// MaxDriftPercent is the largest relative difference between the clock rates of two
// processes, in percent.
const MaxDriftPercent = 1

// WithDrift lengthens d by twice the clock drift bound. A process that waits until a
// time-out of d has passed at a peer waits WithDrift(d) by its own clock.
func WithDrift(d time.Duration) time.Duration { return d + 2*d*MaxDriftPercent/100 }
