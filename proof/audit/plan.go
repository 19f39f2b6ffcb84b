package audit

import (
	"time"

	"anvilstand/core/model"
)

// Plan holds the parameters of the checks. The With methods return changed
// copies.
type Plan struct {
	limits         []limit
	recoveryOrg    model.Org
	withdrawnKey   string
	withdrawOp     string
	domain         model.Domain
	outOp, inOp    string
	attempts       int
	recoveryWindow time.Duration
}

// limit is the quota of an organisation, in requests a second and requests.
type limit struct {
	org   model.Org
	rate  float64
	burst float64
}

// WithLimit adds the rate, in requests a second, and the burst of an
// organisation.
func (p Plan) WithLimit(org model.Org, rate, burst float64) Plan {
	p.limits = append(p.limits[:len(p.limits):len(p.limits)], limit{org: org, rate: rate, burst: burst})
	return p
}

// WithWithdrawnKey sets a key and the id of the operation that withdraws it.
func (p Plan) WithWithdrawnKey(key, op string) Plan {
	p.withdrawnKey, p.withdrawOp = key, op
	return p
}

// WithEvacuation sets the evacuated failure domain and the ids of the operations that
// take it out and bring it back in.
func (p Plan) WithEvacuation(d model.Domain, out, in string) Plan {
	p.domain, p.outOp, p.inOp = d, out, in
	return p
}

// WithAttempts sets how often a request may be executed each time that it is
// sent.
func (p Plan) WithAttempts(n int) Plan {
	p.attempts = n
	return p
}

// WithRecovery sets the organisation, within its rate, that must be served in the
// last part of the history, and the length of that part.
func (p Plan) WithRecovery(org model.Org, window time.Duration) Plan {
	p.recoveryOrg, p.recoveryWindow = org, window
	return p
}
