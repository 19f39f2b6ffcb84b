package main

import (
	"time"

	"anvilstand/core/admit"
	"anvilstand/core/model"
	"anvilstand/core/route"
)

// scenario describes one run: the features that are off, the demand and the
// trigger.
type scenario struct {
	control  bool          // false for the baseline without overload control
	admitOff admit.Feature // features of the admission controller that are off
	routeOff route.Feature // features of the load balancer that are off
	seed     uint64
	load     float64 // demand in multiples of the capacity
	trigger  trigger
	begin    time.Duration // start of the measurement and of the trigger, if any
	end      time.Duration // end of the measurement and of the trigger, if any
	duration time.Duration
	orgs     []orgLoad
	maxSends int // requests that a client sends for one operation at most
}

// orgLoad is the load of an organisation: its fraction of the demand, and its rate
// limit in multiples of the capacity. A rate of zero means no limit.
type orgLoad struct {
	name     model.Org
	fraction float64
	rate     float64
}

// trigger is a disturbance between begin and end of a scenario.
//
//sumtype:decl
type trigger interface{ isTrigger() }

// Members of trigger.
type (
	// noTrigger leaves the fleet and the demand as they are.
	noTrigger struct{}
	// surge multiplies the demand.
	surge struct{ factor float64 }
	// slowService multiplies the work of each request at a service.
	slowService struct {
		service model.Service
		factor  float64
	}
	// coldThird crashes a third of all targets at its begin. They come back cold.
	coldThird struct{}
	// domainOut takes a failure domain out of service and puts it back at its end.
	domainOut struct{ domain model.Domain }
)

func (noTrigger) isTrigger()   {}
func (surge) isTrigger()       {}
func (slowService) isTrigger() {}
func (coldThird) isTrigger()   {}
func (domainOut) isTrigger()   {}

// eightOrgs returns eight organisations without rate limits, two of them large.
func eightOrgs() []orgLoad {
	return []orgLoad{
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

// steadyLoad returns a scenario of a constant demand, measured from 5 s on:
// before, all admission controllers begin in slow start at once.
func steadyLoad(load float64, seed uint64) scenario {
	return scenario{
		control: true, seed: seed, load: load, trigger: noTrigger{}, orgs: eightOrgs(), maxSends: 5,
		begin: 5 * time.Second, end: 13 * time.Second, duration: 13 * time.Second,
	}
}

// withTrigger returns a scenario with a trigger from 5 s to 9 s, at a demand below
// the capacity.
func withTrigger(t trigger, seed uint64) scenario {
	return scenario{
		control: true, seed: seed, load: 0.75, trigger: t, orgs: eightOrgs(), maxSends: 5,
		begin: 5 * time.Second, end: 9 * time.Second, duration: 17 * time.Second,
	}
}

// baseline returns the scenario without overload control.
func (sc scenario) baseline() scenario {
	sc.control = false
	return sc
}

func (w *world) startTrigger(t trigger) {
	switch t := t.(type) {
	case noTrigger:
	case surge:
		w.scenario.load *= t.factor
	case slowService:
		w.setWorkFactor(t.service, t.factor)
	case coldThird:
		for i, n := range w.nodes {
			if i%3 == 0 {
				n.target.crash()
			}
		}
	case domainOut:
		w.domainsOut[t.domain] = true
		w.publishMembers()
	}
}

func (w *world) stopTrigger(t trigger) {
	switch t := t.(type) {
	case noTrigger, coldThird:
	case surge:
		w.scenario.load /= t.factor
	case slowService:
		w.setWorkFactor(t.service, 1)
	case domainOut:
		delete(w.domainsOut, t.domain)
		w.publishMembers()
	}
}

// setWorkFactor multiplies the work of each request at a service. A factor of 1 is
// the usual work.
func (w *world) setWorkFactor(s model.Service, factor float64) {
	for _, n := range w.nodes {
		if n.member.Service() == s {
			n.target.workFactor = factor
		}
	}
}
