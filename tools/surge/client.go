package main

import (
	"fmt"
	"time"

	"anvilstand/core/admit"
	"anvilstand/core/model"
)

// Behaviour of the clients.
const (
	patience   = time.Second            // deadline of a request
	resendLeg  = 50 * time.Millisecond  // least wait before a resend
	resendMore = 100 * time.Millisecond // random wait on top
	budget     = 3                      // retries that a request may cause
)

// wish is what a client wants; it sends requests for it until one is answered.
type wish struct {
	org     int
	service model.Service
	rank    model.Rank
	tries   int
	n       uint64
}

// purse is an ideal share: one token bucket for the whole fleet.
type purse struct {
	tokens float64
	filled instant
}

const burstTime = 0.5 // seconds of rate

func (p *purse) spend(now instant, rate float64) bool {
	p.tokens = min(rate*burstTime, p.tokens+rate*now.Sub(p.filled).Seconds())
	p.filled = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// arrivals draws the wishes of an organisation.
func (w *world) arrivals(org int, capacity float64) {
	rate := w.plan.load * w.plan.orgs[org].part * capacity
	gap := time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() {
		w.wishes++
		h := &wish{org: org, service: w.drawRoot(), rank: w.drawRank(), n: w.wishes}
		w.tally.wish(w.now, h)
		w.try(h)
		w.arrivals(org, capacity)
	})
}

func (w *world) drawRoot() model.Service {
	x := w.rnd.Float64()
	for _, r := range w.graph.roots {
		if x < r.part {
			return r.service
		}
		x -= r.part
	}
	return w.graph.roots[0].service
}

// Parts of the ranks.
const (
	topPart     = 0.1
	defaultPart = 0.6
)

// ranks are the ranks drawn.
var ranks = []model.Rank{model.RankHighest, model.RankDefault, model.RankDefault + 2}

func (w *world) drawRank() model.Rank {
	x := w.rnd.Float64()
	switch {
	case x < topPart:
		return model.RankHighest
	case x < topPart+defaultPart:
		return model.RankDefault
	}
	return model.RankDefault + 2
}

// try sends one request for a wish.
func (w *world) try(h *wish) {
	began := w.now
	h.tries++
	entry := w.entry()
	w.after(w.graph.away, func() {
		w.enter(entry, h, func(ok bool, work float64) {
			w.after(w.graph.away, func() { w.answer(h, began, ok, work) })
		})
	})
}

func (w *world) entry() *node {
	for {
		n := w.nodes[w.rnd.IntN(len(w.nodes))]
		if !w.out[n.member.Domain()] {
			return n
		}
	}
}

// enter is the entry daemon: share, order, choice of target.
func (w *world) enter(entry *node, h *wish, done func(bool, float64)) {
	t := w.plan.orgs[h.org]
	if t.rate > 0 && w.plan.control && !w.purses[h.org].spend(w.now, t.rate*w.capacity) {
		done(false, 0)
		return
	}
	id := model.Request(fmt.Sprintf("%d-%d", h.n, h.tries))
	d := w.demand[entry]
	d.Observe(w.now, t.name)
	mc := model.NewCall(id, t.name, h.rank).WithBudget(budget).WithOrder(admit.OrderOf(id, t.name, d.Rate(w.now, t.name)))
	c := &call{call: mc, service: h.service, deadline: w.now.Add(patience - 2*w.graph.away), level: model.PositionCount}
	w.call(entry, c, done)
}

// answer ends a request. A wish not fulfilled is sent again soon, whatever the
// refusal says.
func (w *world) answer(h *wish, began instant, ok bool, work float64) {
	whole := ok && w.now.Sub(began) <= patience
	if whole {
		w.tally.fulfilled(w.now, h, work)
		return
	}
	w.waste(work)
	if h.tries >= w.plan.tries {
		return
	}
	w.after(resendLeg+time.Duration(w.rnd.Float64()*float64(resendMore)), func() { w.try(h) })
}
