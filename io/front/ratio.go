package front

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// ratio lets traffic goroutines share a retry.Ratio.
type ratio struct {
	mu   sync.Mutex
	core retry.Ratio
}

func (r *ratio) fresh(org model.Org, s model.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Fresh(org, s)
}

func (r *ratio) retry(org model.Org, s model.Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Retry(org, s)
}
