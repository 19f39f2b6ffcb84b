package main

import (
	"time"

	"anvilstand/core/model"
)

// graph is a workload: services that call each other, and the services that
// clients call.
type graph struct {
	services    []service
	roots       []root
	clientDelay time.Duration // one way, between clients and daemons
}

// service is a set of equal targets. A request takes half of its own work, then
// calls each downstream service once, one after the other, then takes the rest.
type service struct {
	name       model.Service
	targets    int
	slots      int           // of each target
	work       time.Duration // mean time of its own, without calls
	downstream []model.Service
}

// root is a service that clients call, and its fraction of all client requests.
type root struct {
	service  model.Service
	fraction float64
}

// domains are the failure domains of every graph.
var domains = []model.Domain{"north", "east", "south"}

// crossDomainDelay is the network delay between failure domains, one way.
const crossDomainDelay = 500 * time.Microsecond

// sameDomainDelay is the network delay within a failure domain, one way.
const sameDomainDelay = 50 * time.Microsecond

// graphByName returns a graph by name, and whether it exists. Targets have a
// quarter of the slots of the real ones.
func graphByName(name string) (graph, bool) {
	switch name {
	case "pilha":
		return pilha(), true
	case "sanabil":
		return sanabil(), true
	case "chain":
		return chain(), true
	}
	return graph{}, false
}

func pilha() graph {
	return graph{
		clientDelay: 3 * time.Millisecond,
		services: []service{
			{name: "stock", targets: 4, slots: 30, work: 100 * time.Millisecond},
			{name: "ordering", targets: 3, slots: 42, work: 60 * time.Millisecond, downstream: []model.Service{"stock"}},
			{name: "catalogue", targets: 3, slots: 42, work: 300 * time.Millisecond},
			{name: "refunds", targets: 3, slots: 8, work: 100 * time.Millisecond, downstream: []model.Service{"ordering"}},
		},
		roots: []root{{"stock", 0.30}, {"ordering", 0.47}, {"catalogue", 0.18}, {"refunds", 0.05}},
	}
}

func sanabil() graph {
	return graph{
		clientDelay: 8 * time.Millisecond,
		services: []service{
			{name: "faultlogs", targets: 6, slots: 25, work: 100 * time.Millisecond},
			{name: "warranty", targets: 4, slots: 37, work: 80 * time.Millisecond, downstream: []model.Service{"faultlogs"}},
			{name: "firmware", targets: 3, slots: 50, work: 300 * time.Millisecond},
			{name: "actions", targets: 3, slots: 8, work: 100 * time.Millisecond, downstream: []model.Service{"faultlogs"}},
		},
		roots: []root{{"faultlogs", 0.33}, {"warranty", 0.42}, {"firmware", 0.20}, {"actions", 0.05}},
	}
}

// chain returns six services that call each other in a row. The last one has the
// lowest capacity.
func chain() graph {
	g := graph{clientDelay: 3 * time.Millisecond, roots: []root{{"a", 1}}}
	names := []model.Service{"a", "b", "c", "d", "e", "f"}
	for i, name := range names {
		s := service{name: name, targets: 3, slots: 20 * (len(names) - i), work: 20 * time.Millisecond}
		if i+1 < len(names) {
			s.downstream = names[i+1 : i+2]
		} else {
			s.slots = 8
		}
		g.services = append(g.services, s)
	}
	return g
}

// service returns a service by name, or nil if the graph has none of that name.
func (g *graph) service(name model.Service) *service {
	for i := range g.services {
		if g.services[i].name == name {
			return &g.services[i]
		}
	}
	return nil
}

// slotTime returns how long a request occupies a slot of a service, calls of
// downstream services included, when nothing queues.
func (g *graph) slotTime(name model.Service) time.Duration {
	s := g.service(name)
	d := s.work
	for _, downstream := range s.downstream {
		d += g.slotTime(downstream) + 2*sameDomainDelay
	}
	return d
}

// addVisits adds to visits how many requests each service gets when the named
// service gets the given number.
func (g *graph) addVisits(name model.Service, requests float64, visits map[model.Service]float64) {
	visits[name] += requests
	for _, downstream := range g.service(name).downstream {
		g.addVisits(downstream, requests, visits)
	}
}

// capacity returns the highest rate of client requests, in this mix of roots, that
// every service can serve, in requests a second.
func (g *graph) capacity() float64 {
	visits := map[model.Service]float64{}
	for _, r := range g.roots {
		g.addVisits(r.service, r.fraction, visits)
	}
	lowest := 0.0
	for _, s := range g.services {
		rate := float64(s.targets*s.slots) / (visits[s.name] * g.slotTime(s.name).Seconds())
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}
