package front

import (
	"sync"

	"anvilstand/core/conf"
	"anvilstand/core/model"
	"anvilstand/core/share"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
)

// purse lets traffic goroutines spend shares.
type purse struct {
	clock  clock.Clock
	mu     sync.Mutex
	config *conf.Config
	parts  int
	even   share.Even
}

func (p *purse) spend(v *ctrl.View, org model.Org) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if v.Config() != p.config || len(v.Members()) != p.parts {
		p.config, p.parts = v.Config(), len(v.Members())
		p.even.Set(now, p.config, p.parts)
	}
	return p.even.Spend(now, org)
}
