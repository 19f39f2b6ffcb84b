// Package model defines the identifiers and small value types that the other
// packages share: names, priorities, call metadata, refusals and the reasons of
// retries. It decides nothing, and does no input or output.
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

// Incarnation is a random number that a process draws when it starts. It tells
// apart two processes that ran under the same name or at the same address. Zero
// means that the incarnation is not known.
type Incarnation uint64

// Revision is the number of a change of the configuration, and of the
// configuration that the change leads to. Zero is the empty configuration.
type Revision uint64

// Op is the id of an operator's command. A command that is sent again under the
// same id is applied once.
type Op string

// Request is the id of a request. The calls that targets make on its behalf have the
// same id if they carry the token of the running request.
type Request string

// Fingerprint is a hash of a request's content that is the same when the request is
// sent again.
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
// origin of that process. Instants of two processes cannot be compared.
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

// WithDrift returns d lengthened by twice MaxDriftPercent. A process that waits until a
// time-out of d has passed at a peer waits WithDrift(d) by its own clock.
func WithDrift(d time.Duration) time.Duration { return d + 2*d*MaxDriftPercent/100 }
