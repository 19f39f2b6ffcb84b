package retry

import (
	"maps"

	"anvilstand/core/model"
)

// Take takes one retry out of the budget, or fails with NoBudget.
func (b *Budget) Take() error {
	if b.left <= 0 {
		return &Error{why: NoBudget{}}
	}
	b.left--
	return nil
}

// Lend moves half of the budget, rounded down, into a part for one attempt. The
// rest stays for the retry of that attempt.
func (b *Budget) Lend(p *Part) {
	half := b.left / 2
	b.left -= half
	p.size += half
}

// Return takes back what an attempt reports as unspent, never more than its
// part holds. What is not reported is lost, and a part is returned only once.
func (b *Budget) Return(p *Part, unspent int) {
	b.left += min(max(0, unspent), p.size)
	p.size = 0
}

// Drain empties the budget into a part, to report it to the caller.
func (b *Budget) Drain(p *Part) {
	p.size += b.left
	b.left = 0
}

// Fresh counts a request that is not a retry of this daemon.
func (r *Ratio) Fresh(org model.Org, service model.Service) {
	r.begin(org, service)
	r.orgs[org] = min(MaxSaved, r.orgs[org]+Share)
	r.services[service] = min(MaxSaved, r.services[service]+Share)
}

// Retry takes a retry out of what the organisation and the service saved, or
// fails with OverRatio.
func (r *Ratio) Retry(org model.Org, service model.Service) error {
	r.begin(org, service)
	if r.orgs[org] < 1 || r.services[service] < 1 {
		return &Error{why: OverRatio{}}
	}
	r.orgs[org]--
	r.services[service]--
	return nil
}

// Keep forgets the organisations and services that are not among those given.
func (r *Ratio) Keep(orgs map[model.Org]bool, services map[model.Service]bool) {
	maps.DeleteFunc(r.orgs, func(name model.Org, _ float64) bool { return !orgs[name] })
	maps.DeleteFunc(r.services, func(name model.Service, _ float64) bool { return !services[name] })
}

func (r *Ratio) begin(org model.Org, service model.Service) {
	if r.orgs == nil {
		r.orgs = map[model.Org]float64{}
		r.services = map[model.Service]float64{}
	}
	if _, ok := r.orgs[org]; !ok {
		r.orgs[org] = firstSaved
	}
	if _, ok := r.services[service]; !ok {
		r.services[service] = firstSaved
	}
}
