package audit

import (
	"time"

	"anvilstand/core/model"
)

// Plan is what a history is checked against. The With methods return changed
// copies.
type Plan struct {
	limits   []limit
	main     model.Org
	key      string
	withdraw string
	domain   model.Domain
	out, in  string
	attempts int
	finale   time.Duration
}

type limit struct {
	org   model.Org
	rate  float64
	burst float64
}

// WithLimit adds the rate and the burst of an organisation.
func (p Plan) WithLimit(org model.Org, rate, burst float64) Plan {
	p.limits = append(p.limits[:len(p.limits):len(p.limits)], limit{org: org, rate: rate, burst: burst})
	return p
}

// WithWithdrawn names a key and the operation that withdraws it.
func (p Plan) WithWithdrawn(key, op string) Plan {
	p.key, p.withdraw = key, op
	return p
}

// WithOut names a failure domain and the operations that take it out and back.
func (p Plan) WithOut(d model.Domain, out, in string) Plan {
	p.domain, p.out, p.in = d, out, in
	return p
}

// WithAttempts sets how often one request may run for each time it is sent.
func (p Plan) WithAttempts(n int) Plan {
	p.attempts = n
	return p
}

// WithMain names the organisation, inside its rate, that must be served in the
// last part of the history.
func (p Plan) WithMain(org model.Org, finale time.Duration) Plan {
	p.main, p.finale = org, finale
	return p
}
