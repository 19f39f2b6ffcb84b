package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/admit"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/route"
)

type instant = model.Instant

// world is a fleet in virtual time: real gates and tables, fake targets.
type world struct {
	sim
	graph    graph
	plan     plan
	rnd      *rand.Rand
	nodes    []*node
	byName   map[model.Service][]fleet.Member
	byID     map[model.Instance]*node
	out      map[model.Domain]bool
	demand   map[*node]*admit.ArrivalRate
	tally    tally
	jobs     uint64
	wishes   uint64
	purses   []purse
	capacity float64
}

// node is an instance: a daemon and the target beside it.
type node struct {
	member  fleet.Member
	gate    *admit.Controller
	table   *route.Balancer
	target  *target
	waiting map[uint64]func(*model.Refusal)
	next    uint64
}

// call is a request between a daemon and a service.
type call struct {
	call     model.Call
	service  model.Service
	deadline instant
	level    model.Position // lowest level met at the calls below
}

func (c *call) child(s model.Service) *call {
	half := c.call.Budget() / 2
	child := &call{call: c.call.WithBudget(half), service: s, deadline: c.deadline, level: model.PositionCount}
	c.call = c.call.WithBudget(c.call.Budget() - half)
	return child
}

func newWorld(g graph, p plan) *world {
	w := &world{
		graph:  g,
		plan:   p,
		rnd:    rand.New(rand.NewPCG(p.seed, 1)),
		byID:   map[model.Instance]*node{},
		out:    map[model.Domain]bool{},
		demand: map[*node]*admit.ArrivalRate{},
	}
	w.tally = newTally()
	for i, s := range g.services {
		for k := range s.endpoints {
			w.addNode(s, k, domains[(i+k)%len(domains)])
		}
	}
	w.publish()
	return w
}

func (w *world) addNode(s service, k int, d model.Domain) {
	name := model.Instance(fmt.Sprintf("%s%d", s.name, k))
	n := &node{
		member:  fleet.NewMember(name, d, s.name, ""),
		gate:    admit.Without(w.plan.gate),
		table:   route.Without(w.plan.table),
		waiting: map[uint64]func(*model.Refusal){},
	}
	n.target = &target{world: w, node: n, slots: s.slots, slow: 1, inside: map[*job]struct{}{}}
	n.target.answers = warmAnswers * s.slots
	w.nodes = append(w.nodes, n)
	w.byID[name] = n
	w.demand[n] = &admit.ArrivalRate{}
}

// publish makes the members of the domains in service known.
func (w *world) publish() {
	w.byName = map[model.Service][]fleet.Member{}
	for _, n := range w.nodes {
		if !w.out[n.member.Domain()] {
			w.byName[n.member.Service()] = append(w.byName[n.member.Service()], n.member)
		}
	}
}

func (w *world) delay(a, b *node) time.Duration {
	if a.member.Domain() == b.member.Domain() {
		return near
	}
	return apart
}

// call sends a request to a target of a service. Done is called once.
func (w *world) call(from *node, c *call, done func(ok bool, work float64)) {
	if !w.plan.control {
		w.plainCall(from, c, 0, done)
		return
	}
	w.attempt(from, c, map[model.Instance]bool{}, 0, done)
}

// attempt tries one target, and another as far as the budget goes. Work is
// what earlier attempts did in vain.
func (w *world) attempt(from *node, c *call, tried map[model.Instance]bool, work float64, done func(bool, float64)) {
	members := slices.DeleteFunc(slices.Clone(w.byName[c.service]), func(m fleet.Member) bool { return tried[m.Name()] })
	path := route.Pattern(c.service)
	ask := route.NewPickInfo(from.member.Domain(), path, c.call.Position())
	m, err := from.table.Pick(w.now, w.rnd, members, ask)
	if err != nil {
		c.level = min(c.level, from.table.Level(w.now, w.byName[c.service], path))
		w.tally.early(w.now, c)
		done(false, work)
		return
	}
	to := w.byID[m.Name()]
	tried[m.Name()] = true
	from.table.StartAttempt(m.Name())
	w.after(w.delay(from, to), func() {
		w.arrive(to, c, func(ok bool, end route.Outcome, again bool, spent float64) {
			report := route.NewReport(min(c.level, to.gate.Level()), to.gate.Load(), to.gate.Limit())
			w.after(w.delay(from, to), func() {
				from.table.Update(w.now, m.Name(), path, report)
				from.table.Finish(w.now, m.Name(), end)
				c.level = report.Level()
				if ok || !again || c.call.Budget() <= 0 || w.now >= c.deadline {
					done(ok, work+spent)
					return
				}
				c.call = c.call.WithBudget(c.call.Budget() - 1)
				c.level = model.PositionCount
				w.attempt(from, c, tried, work+spent, done)
			})
		})
	})
}

// arrive brings a request to the gate beside a target. Again says that another
// target may be tried.
func (w *world) arrive(to *node, c *call, done func(ok bool, end route.Outcome, again bool, work float64)) {
	to.next++
	id := to.next
	to.waiting[id] = func(r *model.Refusal) {
		if r != nil {
			w.tally.refuse(w.now, c, r)
			_, shed := r.Reason().(model.Shed)
			done(false, route.Answered{}, !shed, 0)
			return
		}
		w.tally.start(w.now, c)
		to.target.run(c, func(ok bool, o admit.Outcome, work float64) {
			var out admit.Outbox
			to.gate.Finish(w.now, id, o, &out)
			to.act(&out)
			_, failed := o.(admit.Failed)
			_, rejected := o.(admit.Rejected)
			end := route.Outcome(route.Answered{})
			if failed {
				end = route.Broken{}
			}
			done(ok, end, failed || rejected, work)
		})
	}
	t := admit.NewTicket(id, c.call.WithTimeLeft(c.deadline.Sub(w.now)), w.now)
	var out admit.Outbox
	var refusal *model.Refusal
	if err := to.gate.Offer(w.now, t, &out); errors.As(err, &refusal) {
		to.decide(id, refusal)
	}
	to.act(&out)
	if _, still := to.waiting[id]; still {
		w.after(c.deadline.Sub(w.now), func() {
			if _, still := to.waiting[id]; still {
				to.gate.Cancel(id)
				to.decide(id, model.Refuse(model.Late{}, 0))
			}
		})
	}
}

func (n *node) act(out *admit.Outbox) {
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case admit.Start:
			n.decide(a.ID(), nil)
		case admit.Reject:
			n.decide(a.ID(), a.Refusal())
		}
	}
}

func (n *node) decide(id uint64, r *model.Refusal) {
	if f, ok := n.waiting[id]; ok {
		delete(n.waiting, id)
		f(r)
	}
}

// Behaviour of a system without control.
const (
	plainAttempts = 3
	plainTimeout  = time.Second
)

// plainCall is the baseline: a random target of the own failure domain, or of
// any, a timeout, and attempts at each hop.
func (w *world) plainCall(from *node, c *call, tries int, done func(bool, float64)) {
	var list []fleet.Member
	for _, m := range w.byName[c.service] {
		if m.Domain() == from.member.Domain() {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		list = w.byName[c.service]
	}
	to := w.byID[list[w.rnd.IntN(len(list))].Name()]
	ended := false
	end := func(ok bool, work float64) {
		if ended {
			w.waste(work)
			return
		}
		ended = true
		if ok || tries+1 >= plainAttempts {
			done(ok, work)
			return
		}
		w.waste(work)
		w.plainCall(from, c, tries+1, done)
	}
	w.after(plainTimeout, func() { end(false, 0) })
	w.after(w.delay(from, to), func() {
		to.target.run(c, func(ok bool, _ admit.Outcome, work float64) {
			w.after(w.delay(from, to), func() { end(ok, work) })
		})
	})
}

func (w *world) waste(work float64) { w.tally.wasted(w.now, work) }

func sorted(inside map[*job]struct{}) []*job {
	all := make([]*job, 0, len(inside))
	for j := range inside {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return all
}
