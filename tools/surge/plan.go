package main

import (
	"time"

	"anvilstand/core/admit"
	"anvilstand/core/model"
	"anvilstand/core/route"
)

// plan is one run: what is switched off, the demand and the trigger.
type plan struct {
	control bool
	gate    admit.Feature
	table   route.Feature
	seed    uint64
	load    float64 // demand in multiples of the capacity
	trigger trigger
	begin   time.Duration // of the trigger, or of the measurement
	end     time.Duration
	lasts   time.Duration
	orgs    []tenant
	tries   int
}

// tenant is an organisation: its part of the demand, and its rate in multiples
// of the capacity. A rate of zero is without bound.
type tenant struct {
	name model.Org
	part float64
	rate float64
}

// trigger is what goes wrong between begin and end.
//
//sumtype:decl
type trigger interface{ isTrigger() }

// Members of trigger.
type (
	// calm is no trigger.
	calm struct{}
	// surge multiplies the demand.
	surge struct{ times float64 }
	// slowDeep multiplies the work of a service.
	slowDeep struct {
		service model.Service
		times   float64
	}
	// coldThird restarts a third of all targets at its begin.
	coldThird struct{}
	// domainOut takes a failure domain out and brings it back.
	domainOut struct{ domain model.Domain }
)

func (calm) isTrigger()      {}
func (surge) isTrigger()     {}
func (slowDeep) isTrigger()  {}
func (coldThird) isTrigger() {}
func (domainOut) isTrigger() {}

// eight are eight organisations, two of them large.
func eight() []tenant {
	return []tenant{
		{"large1", 0.30, 0},
		{"large2", 0.22, 0},
		{"small1", 0.08, 0},
		{"small2", 0.08, 0},
		{"small3", 0.08, 0},
		{"small4", 0.08, 0},
		{"small5", 0.08, 0},
		{"small6", 0.08, 0},
	}
}

// overload is a run at a steady demand.
func overload(load float64, seed uint64) plan {
	return plan{
		control: true, seed: seed, load: load, trigger: calm{}, orgs: eight(), tries: 5,
		begin: 5 * time.Second, end: 13 * time.Second, lasts: 13 * time.Second,
	}
}

// recovery is a run with a trigger in its middle.
func recovery(t trigger, seed uint64) plan {
	return plan{
		control: true, seed: seed, load: 0.75, trigger: t, orgs: eight(), tries: 5,
		begin: 5 * time.Second, end: 9 * time.Second, lasts: 17 * time.Second,
	}
}

// baseline returns the plan without any control.
func (p plan) baseline() plan {
	p.control = false
	return p
}

func (w *world) start(t trigger) {
	switch t := t.(type) {
	case calm:
	case surge:
		w.plan.load *= t.times
	case slowDeep:
		w.slow(t.service, t.times)
	case coldThird:
		for i, n := range w.nodes {
			if i%3 == 0 {
				n.target.die()
			}
		}
	case domainOut:
		w.out[t.domain] = true
		w.publish()
	}
}

func (w *world) stop(t trigger) {
	switch t := t.(type) {
	case calm, coldThird:
	case surge:
		w.plan.load /= t.times
	case slowDeep:
		w.slow(t.service, 1)
	case domainOut:
		delete(w.out, t.domain)
		w.publish()
	}
}

func (w *world) slow(s model.Service, times float64) {
	for _, n := range w.nodes {
		if n.member.Service() == s {
			n.target.slow = times
		}
	}
}
