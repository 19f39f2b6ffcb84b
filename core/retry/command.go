package retry

import (
	"maps"

	"anvilstand/core/model"
)

// Take takes one retry out of the budget. When none is left, it fails with an
// *Error of NoBudget.
func (b *Budget) Take() error {
	if b.remaining <= 0 {
		return &Error{reason: NoBudget{}}
	}
	b.remaining--
	return nil
}

// Split moves half of the budget, rounded down, into a portion that one attempt or
// downstream call may use. The rest stays for retries by this daemon after it.
func (b *Budget) Split(portion *Portion) {
	half := b.remaining / 2
	b.remaining -= half
	portion.size += half
}

// Return adds the retries that an attempt reports as unspent, at most those of its
// portion. It empties the portion, so that unreported retries are lost and a
// second Return adds nothing.
func (b *Budget) Return(portion *Portion, unspent int) {
	b.remaining += min(max(0, unspent), portion.size)
	portion.size = 0
}

// TakeAll moves what is left of the budget into a portion, to report it to the caller
// as unspent.
func (b *Budget) TakeAll(portion *Portion) {
	portion.size += b.remaining
	b.remaining = 0
}

// AddRequest counts a request that is not a retry by this daemon, and adds TokenRatio to
// the buckets of its organisation and service.
func (t *Throttle) AddRequest(org model.Org, service model.Service) {
	t.init(org, service)
	t.orgs[org] = min(MaxTokens, t.orgs[org]+TokenRatio)
	t.services[service] = min(MaxTokens, t.services[service]+TokenRatio)
}

// Take takes one token from the bucket of the organisation and one from that of the
// service. When one of them lacks a token, it takes none and fails with an *Error of
// Throttled.
func (t *Throttle) Take(org model.Org, service model.Service) error {
	t.init(org, service)
	if t.orgs[org] < 1 || t.services[service] < 1 {
		return &Error{reason: Throttled{}}
	}
	t.orgs[org]--
	t.services[service]--
	return nil
}

// Retain deletes the buckets of all but the given organisations and services.
func (t *Throttle) Retain(orgs map[model.Org]bool, services map[model.Service]bool) {
	maps.DeleteFunc(t.orgs, func(name model.Org, _ float64) bool { return !orgs[name] })
	maps.DeleteFunc(t.services, func(name model.Service, _ float64) bool { return !services[name] })
}

// init creates missing buckets with initialTokens.
func (t *Throttle) init(org model.Org, service model.Service) {
	if t.orgs == nil {
		t.orgs = map[model.Org]float64{}
		t.services = map[model.Service]float64{}
	}
	if _, ok := t.orgs[org]; !ok {
		t.orgs[org] = initialTokens
	}
	if _, ok := t.services[service]; !ok {
		t.services[service] = initialTokens
	}
}
