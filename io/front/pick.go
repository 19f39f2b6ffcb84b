package front

import (
	"math/rand/v2"
	"sync"
	"time"

	"anvilstand/core/admit"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/route"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
)

// picker lets traffic goroutines choose targets by a route.Table.
type picker struct {
	clock     clock.Clock
	mu        sync.Mutex
	rnd       *rand.Rand
	table     route.Table
	demand    admit.Demand
	lastSweep model.Instant
}

// sweepInterval is the time between two looks for targets that are gone.
const sweepInterval = 10 * time.Second

// pick chooses a target of the job's service that was not tried yet. The error
// is a refusal; the level is then the one that refused the job.
func (p *picker) pick(j job, tried map[model.Instance]bool) (fleet.Member, model.Place, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.sweep(now, j.view)
	var members []fleet.Member
	for _, m := range j.view.Serving(j.service) {
		if !tried[m.Name()] {
			members = append(members, m)
		}
	}
	path := pathOf(j)
	m, err := p.table.Pick(now, p.rnd, members, route.NewAsk(j.view.Self().Domain(), path, j.call.Place()))
	if err != nil {
		return m, p.table.Level(now, members, path), err
	}
	p.table.Send(m.Name())
	return m, model.Places, nil
}

func pathOf(j job) route.Path {
	return route.Path(j.route.Method() + " " + j.route.Prefix())
}

// noteSent notes an attempt to a target that was not picked here.
func (p *picker) noteSent(name model.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Send(name)
}

// learn notes a report that came with an answer.
func (p *picker) learn(j job, name model.Instance, r route.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Learn(p.clock.Now(), name, pathOf(j), r)
}

// finish notes how an attempt ended.
func (p *picker) finish(name model.Instance, end route.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Finish(p.clock.Now(), name, end)
}

// assignOrder gives a request that enters here its assignOrder.
func (p *picker) assignOrder(call model.Call) model.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.demand.Note(now, call.Org())
	return call.WithOrder(admit.OrderOf(call.ID(), call.Org(), p.demand.Rate(now, call.Org())))
}

func (p *picker) sweep(now model.Instant, v *ctrl.View) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	names := map[model.Instance]bool{}
	for _, m := range v.Members() {
		names[m.Name()] = true
	}
	p.table.Keep(names)
}
