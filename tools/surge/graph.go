package main

import (
	"time"

	"anvilstand/core/model"
)

// graph is a workload: services that call each other, and what clients ask for.
type graph struct {
	services []service
	roots    []root
	away     time.Duration // one way between clients and daemons
}

// service is a set of equal targets. A request takes work of the target's own
// and one call of each service below, one after the other.
type service struct {
	name      model.Service
	endpoints int
	slots     int
	work      time.Duration
	calls     []model.Service
}

// root is a service that clients call, and its part of all requests.
type root struct {
	service model.Service
	part    float64
}

// domains are the failure domains of every graph.
var domains = []model.Domain{"north", "east", "south"}

// apart is the time one way between failure domains.
const apart = 500 * time.Microsecond

// near is the time one way within a failure domain.
const near = 50 * time.Microsecond

// graphOf returns a graph by name. Slots are a quarter of the real ones.
func graphOf(name string) (graph, bool) {
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
		away: 3 * time.Millisecond,
		services: []service{
			{name: "stock", endpoints: 4, slots: 30, work: 100 * time.Millisecond},
			{name: "ordering", endpoints: 3, slots: 42, work: 60 * time.Millisecond, calls: []model.Service{"stock"}},
			{name: "catalogue", endpoints: 3, slots: 42, work: 300 * time.Millisecond},
			{name: "refunds", endpoints: 3, slots: 8, work: 100 * time.Millisecond, calls: []model.Service{"ordering"}},
		},
		roots: []root{{"stock", 0.30}, {"ordering", 0.47}, {"catalogue", 0.18}, {"refunds", 0.05}},
	}
}

func sanabil() graph {
	return graph{
		away: 8 * time.Millisecond,
		services: []service{
			{name: "faultlogs", endpoints: 6, slots: 25, work: 100 * time.Millisecond},
			{name: "warranty", endpoints: 4, slots: 37, work: 80 * time.Millisecond, calls: []model.Service{"faultlogs"}},
			{name: "firmware", endpoints: 3, slots: 50, work: 300 * time.Millisecond},
			{name: "actions", endpoints: 3, slots: 8, work: 100 * time.Millisecond, calls: []model.Service{"faultlogs"}},
		},
		roots: []root{{"faultlogs", 0.33}, {"warranty", 0.42}, {"firmware", 0.20}, {"actions", 0.05}},
	}
}

// chain is six services deep. The deepest one is the tightest.
func chain() graph {
	g := graph{away: 3 * time.Millisecond, roots: []root{{"a", 1}}}
	names := []model.Service{"a", "b", "c", "d", "e", "f"}
	for i, name := range names {
		s := service{name: name, endpoints: 3, slots: 20 * (len(names) - i), work: 20 * time.Millisecond}
		if i+1 < len(names) {
			s.calls = names[i+1 : i+2]
		} else {
			s.slots = 8
		}
		g.services = append(g.services, s)
	}
	return g
}

func (g *graph) service(name model.Service) *service {
	for i := range g.services {
		if g.services[i].name == name {
			return &g.services[i]
		}
	}
	return nil
}

// hold returns how long a request holds a slot of a service when nothing waits.
func (g *graph) hold(name model.Service) time.Duration {
	s := g.service(name)
	d := s.work
	for _, c := range s.calls {
		d += g.hold(c) + 2*near
	}
	return d
}

// visits adds to n how often one request of a service visits each service.
func (g *graph) visits(name model.Service, part float64, n map[model.Service]float64) {
	n[name] += part
	for _, c := range g.service(name).calls {
		g.visits(c, part, n)
	}
}

// capacity returns the largest rate of root requests, in this mix, that every
// service can bear.
func (g *graph) capacity() float64 {
	n := map[model.Service]float64{}
	for _, r := range g.roots {
		g.visits(r.service, r.part, n)
	}
	least := 0.0
	for _, s := range g.services {
		rate := float64(s.endpoints*s.slots) / (n[s.name] * g.hold(s.name).Seconds())
		if least == 0 || rate < least {
			least = rate
		}
	}
	return least
}
