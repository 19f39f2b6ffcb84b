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

// picker lets concurrent requests choose targets with a route.Balancer. It also
// counts arrivals, from which the order of a request follows.
type picker struct {
	clock     clock.Clock
	mu        sync.Mutex
	rnd       *rand.Rand
	balancer  route.Balancer
	arrivals  admit.ArrivalRate
	lastSweep model.Instant
}

// sweepInterval is the time between two removals of targets that are no longer
// members.
const sweepInterval = 10 * time.Second

// pick chooses one of the members of the job's service that was not tried yet. The error is
// a *model.Refusal; the level returned with it is then the highest of the targets
// left, or PositionCount if none is left.
func (p *picker) pick(j job, members []fleet.Member, tried map[model.Instance]bool) (fleet.Member, model.Position, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.sweep(now, j.view)
	members = untried(members, tried)
	m, err := p.balancer.Pick(now, p.rnd, members, route.NewPickInfo(j.view.Self().Domain(), j.pattern, j.call.Position()))
	if err != nil {
		return m, p.balancer.Level(now, members, j.pattern), err
	}
	p.balancer.StartAttempt(m.Name())
	return m, model.PositionCount, nil
}

// untried returns the members that were not tried yet.
func untried(members []fleet.Member, tried map[model.Instance]bool) []fleet.Member {
	if len(tried) == 0 {
		return members
	}
	var left []fleet.Member
	for _, m := range members {
		if !tried[m.Name()] {
			left = append(left, m)
		}
	}
	return left
}

// startAttempt counts an attempt at a target that pick did not choose.
func (p *picker) startAttempt(name model.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.StartAttempt(name)
}

// update records a load report that came with a response.
func (p *picker) update(j job, name model.Instance, r route.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Update(p.clock.Now(), name, j.pattern, r)
}

// finish records how an attempt ended.
func (p *picker) finish(name model.Instance, outcome route.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Finish(p.clock.Now(), name, outcome)
}

// assignOrder sets the order within its priority of a request that enters here.
func (p *picker) assignOrder(call model.Call) model.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.arrivals.Observe(now, call.Org())
	return call.WithOrder(admit.OrderOf(call.ID(), call.Org(), p.arrivals.Rate(now, call.Org())))
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
	p.balancer.Retain(names)
}
