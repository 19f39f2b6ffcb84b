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
	"anvilstand/core/shed"
)

// instant is a time of the virtual clock.
type instant = model.Instant

// world is a fleet in virtual time: the admission controllers and load balancers
// of the daemons, and simulated targets.
type world struct {
	sim
	graph         graph
	scenario      scenario
	rnd           *rand.Rand
	nodes         []*node
	members       map[model.Service][]fleet.Member // of the domains in service
	nodeByName    map[model.Instance]*node
	domainsOut    map[model.Domain]bool        // out of service
	arrivalRates  map[*node]*admit.ArrivalRate // seen by entry daemons
	stats         stats
	lastJob       uint64
	lastOperation uint64
	buckets       []tokenBucket // by organisation
	capacity      float64       // in requests a second
}

// node is an instance: a daemon and the target beside it.
type node struct {
	member     fleet.Member
	controller *admit.Controller
	balancer   *route.Balancer
	shedder    shed.Controller
	target     *target
	pending    map[uint64]func(*model.Refusal) // requests waiting for admission
	lastID     uint64
}

// call is a request from a daemon to a service.
type call struct {
	meta     model.Call
	service  model.Service
	deadline instant
	level    model.Position // lowest admission level reported by downstream calls
	refused  bool           // the call was refused under overload
	starved  bool           // a downstream call was refused under overload, or starved
}

// child returns a call of a downstream service, and moves half of the retry budget
// to it.
func (c *call) child(s model.Service) *call {
	half := c.meta.Budget() / 2
	child := &call{meta: c.meta.WithBudget(half), service: s, deadline: c.deadline, level: model.PositionCount}
	c.meta = c.meta.WithBudget(c.meta.Budget() - half)
	return child
}

func newWorld(g graph, sc scenario) *world {
	w := &world{
		graph:        g,
		scenario:     sc,
		rnd:          rand.New(rand.NewPCG(sc.seed, 1)),
		nodeByName:   map[model.Instance]*node{},
		domainsOut:   map[model.Domain]bool{},
		arrivalRates: map[*node]*admit.ArrivalRate{},
	}
	w.stats = newStats()
	for i, s := range g.services {
		for j := range s.targets {
			w.addNode(s, j, domains[(i+j)%len(domains)])
		}
	}
	w.publishMembers()
	return w
}

// addNode adds an instance with a warm target.
func (w *world) addNode(s service, i int, d model.Domain) {
	name := model.Instance(fmt.Sprintf("%s%d", s.name, i))
	n := &node{
		member:     fleet.NewMember(name, d, s.name, ""),
		controller: admit.Without(w.scenario.admitOff),
		balancer:   route.Without(w.scenario.routeOff),
		pending:    map[uint64]func(*model.Refusal){},
	}
	n.target = &target{world: w, node: n, slots: s.slots, workFactor: 1, jobs: map[*job]struct{}{}}
	n.target.answered = warmAnswersPerSlot * s.slots
	w.nodes = append(w.nodes, n)
	w.nodeByName[name] = n
	w.arrivalRates[n] = &admit.ArrivalRate{}
}

// publishMembers sets the members that daemons choose from: those whose domain is
// in service.
func (w *world) publishMembers() {
	w.members = map[model.Service][]fleet.Member{}
	for _, n := range w.nodes {
		if !w.domainsOut[n.member.Domain()] {
			w.members[n.member.Service()] = append(w.members[n.member.Service()], n.member)
		}
	}
}

// delay returns the network delay between two instances, one way.
func (w *world) delay(a, b *node) time.Duration {
	if a.member.Domain() == b.member.Domain() {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// call sends a request to a target of a service. Done is called once, with the
// seconds of work that targets spent on the request.
func (w *world) call(from *node, c *call, done func(ok bool, work float64)) {
	if !w.scenario.control {
		w.baselineCall(from, c, 0, done)
		return
	}
	w.attempt(from, c, map[model.Instance]bool{}, 0, done)
}

// attempt tries one target, and the next one on failure while the retry budget
// lasts. Tried are the targets of earlier attempts, work the seconds that these
// spent without success.
func (w *world) attempt(from *node, c *call, tried map[model.Instance]bool, work float64, done func(bool, float64)) {
	members := slices.DeleteFunc(slices.Clone(w.members[c.service]), func(m fleet.Member) bool { return tried[m.Name()] })
	pattern := route.Pattern(c.service)
	info := route.NewPickInfo(from.member.Domain(), pattern, c.meta.Position())
	m, err := from.balancer.Pick(w.now, w.rnd, members, info)
	if err != nil {
		c.level = min(c.level, from.balancer.Level(w.now, w.members[c.service], pattern))
		w.stats.addEarlyRejection(w.now, c)
		c.refused = true
		done(false, work)
		return
	}
	to := w.nodeByName[m.Name()]
	tried[m.Name()] = true
	from.balancer.StartAttempt(m.Name())
	w.after(w.delay(from, to), func() {
		w.arrive(to, c, func(ok bool, outcome route.Outcome, retriable bool, spent float64) {
			report := route.NewReport(min(c.level, to.controller.Level()), to.controller.Load(), to.controller.Limit())
			w.after(w.delay(from, to), func() {
				from.balancer.Update(w.now, m.Name(), pattern, report)
				from.balancer.Finish(w.now, m.Name(), outcome)
				c.level = report.Level()
				if ok || !retriable || c.meta.Budget() <= 0 || w.now >= c.deadline {
					done(ok, work+spent)
					return
				}
				c.meta = c.meta.WithBudget(c.meta.Budget() - 1)
				c.level = model.PositionCount
				w.attempt(from, c, tried, work+spent, done)
			})
		})
	})
}

// arrive hands a request to the admission controller beside a target. Retriable
// says that the caller may try another target, which it may not after a shed or
// when the target abandoned the request.
func (w *world) arrive(to *node, c *call, done func(ok bool, outcome route.Outcome, retriable bool, work float64)) {
	to.lastID++
	id := to.lastID
	to.pending[id] = func(r *model.Refusal) {
		if r != nil {
			w.stats.addRefusal(w.now, c, r)
			_, shed := r.Reason().(model.Shed)
			c.refused = true
			done(false, route.Answered{}, !shed, 0)
			return
		}
		w.stats.addStart(w.now, c)
		to.target.run(c, func(ok bool, o admit.Outcome, work float64) {
			var out admit.Outbox
			to.controller.Finish(w.now, id, o, &out)
			to.apply(&out)
			_, failed := o.(admit.Failed)
			_, rejected := o.(admit.Rejected)
			outcome := route.Outcome(route.Answered{})
			if failed {
				outcome = route.Broken{}
			}
			done(ok, outcome, failed || rejected, work)
		})
	}
	ticket := admit.NewTicket(id, c.meta.WithTimeLeft(c.deadline.Sub(w.now)), w.now)
	var out admit.Outbox
	var refusal *model.Refusal
	if err := to.controller.Offer(w.now, ticket, &out); errors.As(err, &refusal) {
		to.notify(id, refusal)
	}
	to.apply(&out)
	if _, waits := to.pending[id]; waits {
		w.after(c.deadline.Sub(w.now), func() {
			if _, waits := to.pending[id]; waits {
				to.controller.Cancel(id)
				to.notify(id, model.Refuse(model.Late{}, 0))
			}
		})
	}
}

// apply starts and rejects the requests that the admission controller decided on.
func (n *node) apply(out *admit.Outbox) {
	for _, a := range out.Actions() {
		switch a := a.(type) {
		case admit.Start:
			n.notify(a.ID(), nil)
		case admit.Reject:
			n.notify(a.ID(), a.Refusal())
		}
	}
}

// notify ends the wait of a request for admission. A nil refusal means that it
// starts.
func (n *node) notify(id uint64, r *model.Refusal) {
	if f, ok := n.pending[id]; ok {
		delete(n.pending, id)
		f(r)
	}
}

// Behaviour of a system without overload control, for each hop.
const (
	baselineAttempts = 3
	baselineTimeout  = time.Second
)

// baselineCall sends a request without overload control: to a random target of the
// caller's failure domain, or of any if that has none, with a timeout and retries
// at each hop. The target goes on working on requests that timed out.
func (w *world) baselineCall(from *node, c *call, attempts int, done func(bool, float64)) {
	var candidates []fleet.Member
	for _, m := range w.members[c.service] {
		if m.Domain() == from.member.Domain() {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		candidates = w.members[c.service]
	}
	to := w.nodeByName[candidates[w.rnd.IntN(len(candidates))].Name()]
	finished := false
	finish := func(ok bool, work float64) {
		if finished {
			w.addWasted(work)
			return
		}
		finished = true
		if ok || attempts+1 >= baselineAttempts {
			done(ok, work)
			return
		}
		w.addWasted(work)
		w.baselineCall(from, c, attempts+1, done)
	}
	w.after(baselineTimeout, func() { finish(false, 0) })
	w.after(w.delay(from, to), func() {
		to.target.run(c, func(ok bool, _ admit.Outcome, work float64) {
			w.after(w.delay(from, to), func() { finish(ok, work) })
		})
	})
}

// addWasted counts seconds of work for a request that failed.
func (w *world) addWasted(work float64) { w.stats.addWasted(w.now, work) }

// inArrivalOrder returns jobs in a fixed order, so that a seed gives the same run.
func inArrivalOrder(jobs map[*job]struct{}) []*job {
	ordered := make([]*job, 0, len(jobs))
	for j := range jobs {
		ordered = append(ordered, j)
	}
	slices.SortFunc(ordered, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return ordered
}
