package quota

import (
	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// EvenSplit gives each daemon the same part of every organisation's rate and
// burst, whatever traffic it gets. It is the baseline that tests compare quota
// leases with; no daemon uses it. The zero value has no organisation and refuses
// everything. It is not safe for concurrent use.
type EvenSplit struct {
	parts   int
	buckets map[model.Org]*Bucket
}

// Set takes a configuration and the number of daemons. New buckets start empty;
// those of organisations that stay keep their tokens.
func (e *EvenSplit) Set(now model.Instant, c *conf.Config, parts int) {
	e.parts = max(1, parts)
	next := map[model.Org]*Bucket{}
	for _, name := range c.Orgs() {
		b := e.buckets[name]
		if b == nil {
			b = &Bucket{filledAt: now}
		}
		o, _ := c.Org(name)
		b.Set(now, o.Rate()/float64(e.parts), o.Burst()/float64(e.parts))
		next[name] = b
	}
	e.buckets = next
}

// Spend takes one token of this daemon's part. It fails with NoToken for an
// unknown organisation and with OverRate when there is no token.
func (e *EvenSplit) Spend(now model.Instant, org model.Org) error {
	b := e.buckets[org]
	if b == nil {
		return model.Refuse(model.NoToken{}, MaxWait)
	}
	return b.Spend(now)
}
