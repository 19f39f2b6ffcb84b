package model

import "time"

// Call is the metadata of a request that a daemon passes on to the next one: id,
// organisation, rank and order, time left, retry budget, key tag and idempotency id.
// It is a value: the With methods return changed copies.
type Call struct {
	id            Request
	org           Org
	rank          Rank
	order         Order
	timeLeft      time.Duration
	budget        int
	keyTag        string
	rev           Revision
	idempotencyID string
	fingerprint   Fingerprint
	host          string
	service       Service
}

// NewCall returns the call of a request. The organisation is empty for a request
// that enters on an open route.
func NewCall(id Request, org Org, rank Rank) Call {
	return Call{id: id, org: org, rank: rank}
}

// ID returns the request's id, which stays the same along the call chain.
func (c Call) ID() Request { return c.id }

// Org returns the organisation with whose key the request entered, empty when it
// entered on an open route.
func (c Call) Org() Org { return c.org }

// Rank returns the request's priority, which stays the same along the call
// chain.
func (c Call) Rank() Rank { return c.rank }

// Order returns the request's position within its rank, which stays the same
// along the call chain.
func (c Call) Order() Order { return c.order }

// Position returns the request's rank and order combined into one number.
func (c Call) Position() Position { return PositionOf(c.rank, c.order) }

// TimeLeft returns the time left until the request's deadline. It is a duration
// because the clocks of two daemons cannot be compared.
func (c Call) TimeLeft() time.Duration { return c.timeLeft }

// Budget returns the retry budget: how many retries the request may cause at the
// receiving daemon and at all later ones of the chain together.
func (c Call) Budget() int { return c.budget }

// WithTimeLeft returns the call with d left until its deadline.
func (c Call) WithTimeLeft(d time.Duration) Call {
	c.timeLeft = d
	return c
}

// Fingerprint returns the request's fingerprint. Each call of a chain has one of its
// own.
func (c Call) Fingerprint() Fingerprint { return c.fingerprint }

// WithFingerprint returns the call with the fingerprint fp.
func (c Call) WithFingerprint(fp Fingerprint) Call {
	c.fingerprint = fp
	return c
}

// WithOrder returns the call with the order o.
func (c Call) WithOrder(o Order) Call {
	c.order = o
	return c
}

// WithBudget returns the call with a retry budget of n retries.
func (c Call) WithBudget(n int) Call {
	c.budget = n
	return c
}

// KeyTag returns the tag of the key with which the request entered, empty when it
// entered on an open route. Daemons identify a key among themselves by its tag.
func (c Call) KeyTag() string { return c.keyTag }

// Revision returns the revision of the configuration in which the first daemon
// found the key.
func (c Call) Revision() Revision { return c.rev }

// WithKey returns the call with the tag of its key and the revision of the
// configuration in which the key was found.
func (c Call) WithKey(tag string, rev Revision) Call {
	c.keyTag, c.rev = tag, rev
	return c
}

// Host returns the Host header with which the request is sent to the target.
// It is empty when that is the target's own address.
func (c Call) Host() string { return c.host }

// WithHost returns the call with the Host header for its request.
func (c Call) WithHost(host string) Call {
	c.host = host
	return c
}

// Service returns the service whose targets can run the request.
func (c Call) Service() Service { return c.service }

// WithService returns the call with the service s.
func (c Call) WithService(s Service) Call {
	c.service = s
	return c
}

// IdempotencyID returns a digest of the request and its idempotency key. It is empty for
// a request without an idempotency key and on an idempotent route.
func (c Call) IdempotencyID() string { return c.idempotencyID }

// WithIdempotencyID returns the call with the digest of its idempotency key.
func (c Call) WithIdempotencyID(id string) Call {
	c.idempotencyID = id
	return c
}
