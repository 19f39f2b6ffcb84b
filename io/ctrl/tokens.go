package ctrl

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/quota"
	"anvilstand/io/clock"
)

// SharedTokenCache is a quota.TokenCache that is safe for concurrent use: traffic
// goroutines spend tokens, and the control goroutine refills them. Its lock is
// held for short computations only.
type SharedTokenCache struct {
	clock   clock.Clock
	low     chan struct{} // receives when an organisation needs a refill
	mu      sync.Mutex
	cache   quota.TokenCache
	changed map[model.Org]chan struct{}
}

func newTokenCache(c clock.Clock) *SharedTokenCache {
	return &SharedTokenCache{clock: c, low: make(chan struct{}, 1), changed: map[model.Org]chan struct{}{}}
}

// Spend takes one token of an organisation, or fails with a *model.Refusal:
// NoToken while an answer of a lease holder is still to come, OverRate when
// there is no token.
func (t *SharedTokenCache) Spend(org model.Org) error {
	return t.spend(org, t.cache.Spend)
}

// SpendAgain takes one token for a request that Spend failed for. It does not
// count as another arrival.
func (t *SharedTokenCache) SpendAgain(org model.Org) error {
	return t.spend(org, t.cache.SpendAgain)
}

func (t *SharedTokenCache) spend(org model.Org, take func(model.Instant, model.Org) error) error {
	for {
		deadline, err := t.take(org, take)
		// If the process was paused after the token was taken, the token's batch
		// may have expired meanwhile.
		if err != nil || t.clock.Now().Before(deadline) {
			return err
		}
		take = t.cache.SpendAgain
	}
}

// Available returns the tokens of an organisation that can be spent now, and whether no
// holder of its quota leases had one when it was asked last.
func (t *SharedTokenCache) Available(org model.Org) (tokens int, exhausted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	return t.cache.Available(now, org), t.cache.IsExhausted(now, org)
}

// take takes a token and returns the deadline of its batch.
func (t *SharedTokenCache) take(org model.Org, take func(model.Instant, model.Org) error) (model.Instant, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	err := take(now, org)
	if t.cache.NeedsRefill(now, org) {
		select {
		case t.low <- struct{}{}:
		default:
		}
	}
	return t.cache.LastDeadline(), err
}

// Changed returns a channel that is closed when tokens of an organisation come,
// or when no lease holder has one.
func (t *SharedTokenCache) Changed(org model.Org) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.changed[org]
	if !ok {
		c = make(chan struct{})
		t.changed[org] = c
	}
	return c
}

// notify closes the channel of an organisation. The lock is held.
func (t *SharedTokenCache) notify(org model.Org) {
	if c, ok := t.changed[org]; ok {
		close(c)
		delete(t.changed, org)
	}
}

// setOnDemand sets for each organisation whether tokens are asked for only when
// requests wait.
func (t *SharedTokenCache) setOnDemand(mgr *quota.Manager) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, org := range mgr.Orgs() {
		t.cache.SetOnDemand(org, mgr.OnDemand(org))
	}
}

func (t *SharedTokenCache) put(org model.Org, b quota.Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cache.Put(t.clock.Now(), org, b)
	t.notify(org)
}

func (t *SharedTokenCache) markExhausted(org model.Org, until model.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cache.MarkExhausted(org, until)
	t.notify(org)
}

func (t *SharedTokenCache) collect(all bool, refills *quota.RefillRequests) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cache.Collect(t.clock.Now(), all, refills)
}
