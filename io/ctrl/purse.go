package ctrl

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/quota"
	"anvilstand/io/clock"
)

// TokenCache lets the traffic goroutines spend shares, and the control goroutine
// fill them. Its lock is held for a few lines of arithmetic.
type TokenCache struct {
	clock clock.Clock
	low   chan struct{}
	mu    sync.Mutex
	core  quota.TokenCache
	news  map[model.Org]chan struct{}
}

func newPurse(c clock.Clock) *TokenCache {
	return &TokenCache{clock: c, low: make(chan struct{}, 1), news: map[model.Org]chan struct{}{}}
}

// Spend takes one token of an organisation, or fails with a *model.Refusal:
// NoShare when nothing was heard from the holders yet, OverRate when there is
// no token.
func (p *TokenCache) Spend(org model.Org) error {
	return p.spend(org, p.core.Spend)
}

// SpendAgain tries once more for a request that Spend failed for.
func (p *TokenCache) SpendAgain(org model.Org) error {
	return p.spend(org, p.core.SpendAgain)
}

func (p *TokenCache) spend(org model.Org, take func(model.Instant, model.Org) error) error {
	for {
		until, err := p.take(org, take)
		// A process that was paused after the decision finds its token lapsed.
		if err != nil || p.clock.Now().Before(until) {
			return err
		}
		take = p.core.SpendAgain
	}
}

func (p *TokenCache) take(org model.Org, take func(model.Instant, model.Org) error) (model.Instant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	err := take(now, org)
	if p.core.NeedsRefill(now, org) {
		select {
		case p.low <- struct{}{}:
		default:
		}
	}
	return p.core.LastDeadline(), err
}

// Changed returns a channel that is closed when something is heard from the
// holders of an organisation's titles.
func (p *TokenCache) Changed(org model.Org) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.news[org]
	if !ok {
		c = make(chan struct{})
		p.news[org] = c
	}
	return c
}

func (p *TokenCache) tell(org model.Org) {
	if c, ok := p.news[org]; ok {
		close(c)
		delete(p.news, org)
	}
}

// plan says of each organisation whether its tokens are asked for only when
// requests wait.
func (p *TokenCache) plan(d *quota.Manager) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, org := range d.Orgs() {
		p.core.SetOnDemand(org, d.OnDemand(org))
	}
}

func (p *TokenCache) put(org model.Org, l quota.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Put(p.clock.Now(), org, l)
	p.tell(org)
}

func (p *TokenCache) dry(org model.Org, until model.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.MarkExhausted(org, until)
	p.tell(org)
}

func (p *TokenCache) collect(all bool, n *quota.Refills) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Collect(p.clock.Now(), all, n)
}
