package main

import (
	"strconv"
	"time"

	"anvilstand/core/admit"
	"anvilstand/core/model"
	"anvilstand/core/shed"
)

// Behaviour of the simulated clients.
const (
	requestDeadline = time.Second
	minResendDelay  = 50 * time.Millisecond
	maxResendJitter = 100 * time.Millisecond // random, on top of minResendDelay
	retryBudget     = 3                      // retries that daemons may make for a request, at all hops together
)

// operation is one thing that a client needs done. The client sends requests for
// it until one succeeds or it has sent maxSends.
type operation struct {
	org     int
	service model.Service
	rank    model.Rank
	sends   int // requests sent so far
	id      uint64
}

// tokenBucket is the rate limit of one organisation for the whole fleet: ideal, as
// it costs no messages between daemons. The zero value is empty.
type tokenBucket struct {
	tokens   float64
	refilled instant
}

// burstSeconds is the size of a bucket in seconds of its rate.
const burstSeconds = 0.5

// take takes one token, after refilling at rate tokens a second, and reports
// whether there was one.
func (b *tokenBucket) take(now instant, rate float64) bool {
	b.tokens = min(rate*burstSeconds, b.tokens+rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// scheduleArrival draws the time of an organisation's next operation; each arrival
// schedules the next one. Arrivals form a Poisson process.
func (w *world) scheduleArrival(org int, capacity float64) {
	rate := w.scenario.load * w.scenario.orgs[org].fraction * capacity
	gap := time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() {
		w.lastOperation++
		op := &operation{org: org, service: w.drawRoot(), rank: w.drawRank(), id: w.lastOperation}
		w.stats.addOperation(w.now, op)
		w.send(op)
		w.scheduleArrival(org, capacity)
	})
}

// drawRoot draws the service that an operation calls.
func (w *world) drawRoot() model.Service {
	x := w.rnd.Float64()
	for _, r := range w.graph.roots {
		if x < r.fraction {
			return r.service
		}
		x -= r.fraction
	}
	return w.graph.roots[0].service
}

// Fractions of the requests by rank. The rest has a rank below the default.
const (
	highestRankFraction = 0.1
	defaultRankFraction = 0.6
)

// ranks are the ranks that drawRank returns, highest first.
var ranks = []model.Rank{model.RankHighest, model.RankDefault, model.RankDefault + 2}

// drawRank draws the rank of an operation.
func (w *world) drawRank() model.Rank {
	x := w.rnd.Float64()
	switch {
	case x < highestRankFraction:
		return model.RankHighest
	case x < highestRankFraction+defaultRankFraction:
		return model.RankDefault
	}
	return model.RankDefault + 2
}

// send sends one request for an operation to a random daemon.
func (w *world) send(op *operation) {
	sentAt := w.now
	op.sends++
	entry := w.drawEntry()
	w.after(w.graph.clientDelay, func() {
		w.handleEntry(entry, op, func(ok bool, work float64) {
			w.after(w.graph.clientDelay, func() { w.receive(op, sentAt, ok, work) })
		})
	})
}

// drawEntry draws the daemon that receives a request, from the domains in service.
func (w *world) drawEntry() *node {
	for {
		n := w.nodes[w.rnd.IntN(len(w.nodes))]
		if !w.domainsOut[n.member.Domain()] {
			return n
		}
	}
}

// handleEntry does the work of the daemon that a client sends to: it checks the
// rate limit, sets the request's order within its rank and calls a target.
func (w *world) handleEntry(entry *node, op *operation, done func(bool, float64)) {
	org := w.scenario.orgs[op.org]
	if org.rate > 0 && w.scenario.control && !w.buckets[op.org].take(w.now, org.rate*w.capacity) {
		done(false, 0)
		return
	}
	id := model.Request(strconv.FormatUint(op.id, 10) + "-" + strconv.Itoa(op.sends))
	arrivals := w.arrivalRates[entry]
	arrivals.Observe(w.now, org.name)
	meta := model.NewCall(id, org.name, op.rank).WithBudget(retryBudget).WithOrder(admit.OrderOf(id, org.name, arrivals.Rate(w.now, org.name)))
	c := &call{meta: meta, service: op.service, deadline: w.now.Add(requestDeadline - 2*w.graph.clientDelay), level: model.PositionCount}
	w.callRoot(entry, c, done)
}

// callRoot calls a target for a request that enters at a daemon, unless the daemon
// expects that calls of its chain would be refused.
func (w *world) callRoot(entry *node, c *call, done func(bool, float64)) {
	class, admitted := shed.NewClass(c.service, "", ""), w.now
	if w.scenario.control && entry.shedder.Offer(w.now, class, c.meta.Position()) != nil {
		w.stats.addEarlyRejection(w.now, c)
		done(false, 0)
		return
	}
	w.call(entry, c, func(ok bool, work float64) {
		switch {
		case ok:
			entry.shedder.Finish(w.now, class, admitted, shed.Passed{})
		case c.starved:
			entry.shedder.Finish(w.now, class, admitted, shed.Starved{})
		}
		done(ok, work)
	})
}

// receive handles the answer of a request. The client resends a failed operation
// soon, whatever wait the refusal asked for.
func (w *world) receive(op *operation, sentAt instant, ok bool, work float64) {
	inTime := ok && w.now.Sub(sentAt) <= requestDeadline
	if inTime {
		w.stats.addSuccess(w.now, op, work)
		return
	}
	w.addWasted(work)
	if op.sends >= w.scenario.maxSends {
		return
	}
	w.after(minResendDelay+time.Duration(w.rnd.Float64()*float64(maxResendJitter)), func() { w.send(op) })
}
