// Package trial runs a small fleet in one process on loopback, sends it traffic,
// injects faults and reports measurements and invariants. It is the command
// "anvilstand try".
package trial

import (
	"time"

	"anvilstand/core/model"
	"anvilstand/proof/audit"
)

// Profile is a scaled-down workload: the services and the organisations that
// call them.
type Profile struct {
	name     string
	services []service
	orgs     []orgLoad
}

// service has a number of targets over all failure domains. Each executes up to
// slots requests at a time, and a request takes serviceTime.
type service struct {
	name        model.Service
	targets     int
	slots       int
	serviceTime time.Duration
}

// orgLoad is an organisation: its quota and what it sends, in requests a second.
type orgLoad struct {
	name     model.Org
	rate     float64
	burst    float64
	sendRate float64
}

// domains are the failure domains of every profile.
var domains = []model.Domain{"north", "east", "south"}

// ProfileByName returns the profile with a name, or false when there is none.
func ProfileByName(name string) (Profile, bool) {
	switch name {
	case "pilha":
		return pilha(), true
	case "sanabil":
		return sanabil(), true
	}
	return Profile{}, false
}

// nextInChain returns the service that a service calls in a chain, or false when
// it is the last.
func (p Profile) nextInChain(name model.Service) (model.Service, bool) {
	for i, s := range p.services {
		if s.name == name && i+1 < min(chainDepth, len(p.services)) {
			return p.services[i+1].name, true
		}
	}
	return "", false
}

// capacity returns how many requests a second all targets together can execute.
func (p Profile) capacity() float64 {
	sum := 0.0
	for _, s := range p.services {
		sum += float64(s.targets*s.slots) / s.serviceTime.Seconds()
	}
	return sum
}

// targetCount returns the number of targets. There are as many daemons.
func (p Profile) targetCount() int {
	n := 0
	for _, s := range p.services {
		n += s.targets
	}
	return n
}

// maxExecutions is how often a request may be executed: the first attempt and
// the retry budget.
const maxExecutions = 4

// plan returns the parameters of the checks.
func (p Profile) plan() audit.Plan {
	plan := audit.Plan{}.WithAttempts(maxExecutions).WithWithdrawnKey(withdrawnKeyOf(p), opWithdraw).
		WithEvacuation(domains[len(domains)-1], opOut, opIn)
	for _, org := range p.orgs {
		plan = plan.WithLimit(org.name, org.rate, org.burst)
	}
	return plan
}

func pilha() Profile {
	return Profile{
		name: "pilha",
		services: []service{
			{name: "stock", targets: 4, slots: 12, serviceTime: 20 * time.Millisecond},
			{name: "ordering", targets: 3, slots: 17, serviceTime: 20 * time.Millisecond},
			{name: "catalogue", targets: 3, slots: 17, serviceTime: 20 * time.Millisecond},
			{name: "refunds", targets: 3, slots: 3, serviceTime: 20 * time.Millisecond},
		},
		orgs: eightOrgs(),
	}
}

func sanabil() Profile {
	return Profile{
		name: "sanabil",
		services: []service{
			{name: "faultlogs", targets: 6, slots: 10, serviceTime: 20 * time.Millisecond},
			{name: "warranty", targets: 4, slots: 15, serviceTime: 20 * time.Millisecond},
			{name: "firmware", targets: 3, slots: 20, serviceTime: 20 * time.Millisecond},
			{name: "actions", targets: 3, slots: 3, serviceTime: 20 * time.Millisecond},
		},
		orgs: eightOrgs(),
	}
}

// eightOrgs returns eight organisations, two of them large.
func eightOrgs() []orgLoad {
	all := []orgLoad{
		{name: "large1", rate: 200, burst: 100, sendRate: 150},
		{name: "large2", rate: 150, burst: 75, sendRate: 110},
	}
	for _, name := range []model.Org{"small1", "small2", "small3", "small4", "small5", "small6"} {
		all = append(all, orgLoad{name: name, rate: 40, burst: 40, sendRate: 10})
	}
	return all
}
