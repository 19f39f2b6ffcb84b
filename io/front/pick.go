package front

import (
	"math/rand/v2"
	"sync"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/route"
	"anvilstand/io/ctrl"
)

// picker chooses targets by the requests under way from here.
type picker struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	loads map[model.Instance]int
}

// pick chooses a target of a service that was not tried yet.
func (p *picker) pick(v *ctrl.View, s model.Service, tried map[model.Instance]bool) (fleet.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []route.Candidate
	for _, m := range v.Serving(s) {
		if !tried[m.Name()] {
			all = append(all, route.NewCandidate(m, float64(p.loads[m.Name()])))
		}
	}
	return route.Choose(p.rnd, v.Self().Domain(), all)
}

func (p *picker) add(name model.Instance, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loads == nil {
		p.loads = map[model.Instance]int{}
	}
	p.loads[name] += n
	if p.loads[name] <= 0 {
		delete(p.loads, name)
	}
}
