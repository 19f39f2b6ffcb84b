package share

import (
	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// EvenSplit gives each daemon the same part of every organisation's rate and burst.
// It is the baseline that other ways to divide are measured against. The zero
// value has no parts. It is not safe for concurrent use.
type EvenSplit struct {
	parts   int
	buckets map[model.Org]*Bucket
}

// Set takes a configuration and the number of daemons that share it.
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

// Spend takes one token of an organisation's part.
func (e *EvenSplit) Spend(now model.Instant, org model.Org) error {
	b := e.buckets[org]
	if b == nil {
		return model.Refuse(model.NoShare{}, MaxWait)
	}
	return b.Spend(now)
}
