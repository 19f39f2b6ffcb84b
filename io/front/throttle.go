package front

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// retryThrottle lets concurrent requests share a retry.Throttle, which limits
// retries to a fraction of the requests.
type retryThrottle struct {
	mu   sync.Mutex
	core retry.Throttle
}

func (t *retryThrottle) addRequest(org model.Org, s model.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.AddRequest(org, s)
}

func (t *retryThrottle) take(org model.Org, s model.Service) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Take(org, s)
}
