package retry

import (
	"maps"

	"anvilstand/core/model"
)

// Take takes one retry out of the budget. When none is left, it fails with an
// *Error of NoBudget.
func (b *Budget) Take() error {
	if b.remaining <= 0 {
		return &Error{why: NoBudget{}}
	}
	b.remaining--
	return nil
}

// Lend moves half of the budget, rounded down, into a part for one attempt. The
// other half stays for retries of that attempt.
func (b *Budget) Lend(p *Part) {
	half := b.remaining / 2
	b.remaining -= half
	p.size += half
}

// Return adds the retries that an attempt reports as unspent, at most the size of
// its part. It empties the part, so that unreported retries are lost and a second
// Return adds nothing.
func (b *Budget) Return(p *Part, unspent int) {
	b.remaining += min(max(0, unspent), p.size)
	p.size = 0
}

// Drain moves the whole budget into a part, to report it to the caller as unspent.
func (b *Budget) Drain(p *Part) {
	p.size += b.remaining
	b.remaining = 0
}

// Fresh counts a first attempt: a request that is not a retry by this daemon.
func (r *Ratio) Fresh(org model.Org, service model.Service) {
	r.init(org, service)
	r.orgs[org] = min(MaxTokens, r.orgs[org]+TokenRatio)
	r.services[service] = min(MaxTokens, r.services[service]+TokenRatio)
}

// Retry takes one token from the buckets of the organisation and of the service.
// When one of them lacks a token, it takes none and fails with an *Error of
// OverRatio.
func (r *Ratio) Retry(org model.Org, service model.Service) error {
	r.init(org, service)
	if r.orgs[org] < 1 || r.services[service] < 1 {
		return &Error{why: OverRatio{}}
	}
	r.orgs[org]--
	r.services[service]--
	return nil
}

// Keep deletes the buckets of all but the given organisations and services.
func (r *Ratio) Keep(orgs map[model.Org]bool, services map[model.Service]bool) {
	maps.DeleteFunc(r.orgs, func(name model.Org, _ float64) bool { return !orgs[name] })
	maps.DeleteFunc(r.services, func(name model.Service, _ float64) bool { return !services[name] })
}

// init creates missing buckets with initialTokens.
func (r *Ratio) init(org model.Org, service model.Service) {
	if r.orgs == nil {
		r.orgs = map[model.Org]float64{}
		r.services = map[model.Service]float64{}
	}
	if _, ok := r.orgs[org]; !ok {
		r.orgs[org] = initialTokens
	}
	if _, ok := r.services[service]; !ok {
		r.services[service] = initialTokens
	}
}
