package model

import "time"

// Call is what the daemons tell each other of a request. It is a value; the
// With methods return changed copies.
type Call struct {
	id     Request
	org    Org
	rank   Rank
	order  Order
	left   time.Duration
	budget int
	tag    string
	rev    Revision
	once   string
	mark   Print
	host   string
	to     Service
}

// NewCall returns the call of a request of an organisation. An open route's
// call has no organisation.
func NewCall(id Request, org Org, rank Rank) Call {
	return Call{id: id, org: org, rank: rank}
}

// ID returns the request's identity, the same along the whole chain.
func (c Call) ID() Request { return c.id }

// Org returns the organisation whose key came with the request.
func (c Call) Org() Org { return c.org }

// Rank returns the request's importance, the same along the whole chain.
func (c Call) Rank() Rank { return c.rank }

// Order returns the request's position within its rank, the same along the
// whole chain.
func (c Call) Order() Order { return c.order }

// Place returns the request's rank and order as one position.
func (c Call) Place() Place { return PlaceOf(c.rank, c.order) }

// Left returns the time left until the deadline.
func (c Call) Left() time.Duration { return c.left }

// Budget returns how many more attempts the request may cause, here and below.
func (c Call) Budget() int { return c.budget }

// WithLeft returns the call with another time left.
func (c Call) WithLeft(d time.Duration) Call {
	c.left = d
	return c
}

// Mark returns the request's fingerprint, of this call alone.
func (c Call) Mark() Print { return c.mark }

// WithMark returns the call with another fingerprint.
func (c Call) WithMark(p Print) Call {
	c.mark = p
	return c
}

// WithOrder returns the call with another order.
func (c Call) WithOrder(o Order) Call {
	c.order = o
	return c
}

// WithBudget returns the call with another budget of retries.
func (c Call) WithBudget(n int) Call {
	c.budget = n
	return c
}

// Tag returns the tag of the key that came with the request, empty on a route
// open to all.
func (c Call) Tag() string { return c.tag }

// Revision returns the configuration by which the key was accepted.
func (c Call) Revision() Revision { return c.rev }

// WithKey returns the call with the tag of its key, accepted at a revision.
func (c Call) WithKey(tag string, rev Revision) Call {
	c.tag, c.rev = tag, rev
	return c
}

// Host returns the host that the request goes to the target with, empty when
// it is the target's own address.
func (c Call) Host() string { return c.host }

// WithHost returns the call with the host that its request goes on with.
func (c Call) WithHost(host string) Call {
	c.host = host
	return c
}

// Service returns the service that is to run the request.
func (c Call) Service() Service { return c.to }

// WithService returns the call to a service.
func (c Call) WithService(s Service) Call {
	c.to = s
	return c
}

// Once returns what identifies the request and its idempotency key, empty when
// it has none or needs none.
func (c Call) Once() string { return c.once }

// WithOnce returns the call with what identifies its idempotency key.
func (c Call) WithOnce(id string) Call {
	c.once = id
	return c
}
