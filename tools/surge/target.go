package main

import (
	"time"

	"anvilstand/core/admit"
)

// Behaviour of the simulated targets.
const (
	// queueFactor is the length of a target's own queue, in multiples of its
	// slots. It rejects requests beyond that.
	queueFactor = 8
	// coldFraction is the fraction of its slots that a cold target can use.
	coldFraction = 0.1
	// warmAnswersPerSlot is the number of answers for each slot after which a
	// target is warm.
	warmAnswersPerSlot = 20
	// crashFactor is the number of requests, running and queued, that a target
	// can take while cold, in multiples of its usable slots. It crashes beyond.
	crashFactor = 3
	// restartTime is how long a crashed target is down.
	restartTime = 500 * time.Millisecond
)

// target is a simulated target: slots, a queue of its own, and a number of usable
// slots that grows with its answers until it is warm.
type target struct {
	world      *world
	node       *node
	slots      int
	running    int
	queue      []*job
	answered   int // since it started
	down       bool
	workFactor float64           // multiplies the work of each request
	jobs       map[*job]struct{} // running and queued
}

// job is a request at a target.
type job struct {
	call     *call
	seq      uint64
	arrived  instant
	finished bool
	work     float64 // seconds spent so far, downstream calls included
	done     func(ok bool, o admit.Outcome, work float64)
}

// usableSlots returns how many requests the target runs at a time. It grows
// linearly from coldFraction of the slots to all of them.
func (t *target) usableSlots() int {
	fraction := min(1, coldFraction+(1-coldFraction)*float64(t.answered)/float64(warmAnswersPerSlot*t.slots))
	return max(2, int(fraction*float64(t.slots)))
}

// run takes a request: it starts, queues or rejects it. Done is called once.
func (t *target) run(c *call, done func(ok bool, o admit.Outcome, work float64)) {
	t.world.lastJob++
	j := &job{call: c, seq: t.world.lastJob, arrived: t.world.now, done: done}
	if t.down {
		t.world.after(sameDomainDelay, func() { t.finish(j, false, admit.Failed{}) })
		return
	}
	t.jobs[j] = struct{}{}
	switch {
	case t.running < t.usableSlots():
		t.start(j)
	case len(t.queue) < queueFactor*t.slots:
		t.queue = append(t.queue, j)
	default:
		t.finish(j, false, admit.Rejected{})
	}
	if t.usableSlots() < t.slots && t.running+len(t.queue) > crashFactor*t.usableSlots() {
		t.crash()
	}
}

// crash fails all running and queued requests. The target is up again, cold, after
// restartTime.
func (t *target) crash() {
	t.down = true
	t.answered, t.running, t.queue = 0, 0, nil
	jobs := t.jobs
	t.jobs = map[*job]struct{}{}
	for _, j := range inArrivalOrder(jobs) {
		t.finish(j, false, admit.Failed{})
	}
	t.world.after(restartTime, func() { t.down = false })
}

// start runs a request in a slot.
func (t *target) start(j *job) {
	t.running++
	t.workPhase(j, func() { t.callDownstream(j, 0) })
}

// workPhase takes the time of half of a request's own work, 50 % more or less at
// random. With control the request is abandoned at its deadline.
func (t *target) workPhase(j *job, next func()) {
	s := t.world.graph.service(t.node.member.Service())
	d := time.Duration(float64(s.work) / 2 * t.workFactor * (0.5 + t.world.rnd.Float64()))
	if t.world.scenario.control {
		d = min(d, j.call.deadline.Sub(t.world.now))
	}
	t.world.after(d, func() {
		if j.finished {
			return
		}
		j.work += d.Seconds()
		if t.world.scenario.control && !t.world.now.Before(j.call.deadline) {
			t.release(j, false, admit.Abandoned{})
			return
		}
		next()
	})
}

// callDownstream calls the downstream services from the i-th on, then does the
// second half of the work. A failed call ends the request.
func (t *target) callDownstream(j *job, i int) {
	downstream := t.world.graph.service(t.node.member.Service()).downstream
	if i == len(downstream) {
		t.workPhase(j, func() { t.release(j, true, admit.NewServed(t.world.now.Sub(j.arrived))) })
		return
	}
	c := j.call.child(downstream[i])
	t.world.call(t.node, c, func(ok bool, work float64) {
		if j.finished {
			t.world.addWasted(work)
			return
		}
		j.work += work
		j.call.level = min(j.call.level, c.level)
		if !ok {
			j.call.starved = j.call.starved || c.refused || c.starved
			t.release(j, false, admit.Abandoned{})
			return
		}
		t.callDownstream(j, i+1)
	})
}

// release ends a running request and frees its slot.
func (t *target) release(j *job, ok bool, o admit.Outcome) {
	t.running--
	t.answered++
	t.startQueued()
	t.finish(j, ok, o)
}

// startQueued starts queued requests in free slots, the oldest first. With control
// it drops those past their deadline.
func (t *target) startQueued() {
	for len(t.queue) > 0 && t.running < t.usableSlots() && !t.down {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if t.world.scenario.control && !t.world.now.Before(next.call.deadline) {
			t.finish(next, false, admit.Abandoned{})
			continue
		}
		t.start(next)
	}
}

// finish reports the outcome of a request, once.
func (t *target) finish(j *job, ok bool, o admit.Outcome) {
	if j.finished {
		return
	}
	j.finished = true
	delete(t.jobs, j)
	j.done(ok, o, j.work)
}
