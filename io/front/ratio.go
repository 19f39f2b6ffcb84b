package front

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// retryRatio lets concurrent requests share a retry.Ratio.
type retryRatio struct {
	mu   sync.Mutex
	core retry.Ratio
}

func (r *retryRatio) countRequest(org model.Org, s model.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Fresh(org, s)
}

func (r *retryRatio) takeRetry(org model.Org, s model.Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Retry(org, s)
}
