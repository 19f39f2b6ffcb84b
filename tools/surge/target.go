package main

import (
	"time"

	"anvilstand/core/admit"
)

// Behaviour of the fake targets.
const (
	// queueFactor is what a target queues itself, in multiples of its slots,
	// before it sheds.
	queueFactor = 8
	// coldPart is the part of its slots that a cold target bears.
	coldPart = 0.1
	// warmAnswers is the number of answers a slot after which it is warm.
	warmAnswers = 20
	// bearFactor is how many requests a target survives, in multiples of what
	// it bears while cold.
	bearFactor = 3
	// restartTime is how long a target that fell over is away.
	restartTime = 500 * time.Millisecond
)

// target is a fake target: slots, a queue of its own, and a warmth that grows
// with what it answered.
type target struct {
	world   *world
	node    *node
	slots   int
	running int
	waiting []*job
	answers int // since it started
	dead    bool
	slow    float64
	inside  map[*job]struct{}
}

// job is a request at a target.
type job struct {
	call  *call
	seq   uint64
	came  instant
	ended bool
	work  float64 // seconds of this and the calls below
	done  func(ok bool, o admit.Outcome, work float64)
}

func (t *target) bears() int {
	warm := min(1, coldPart+(1-coldPart)*float64(t.answers)/float64(warmAnswers*t.slots))
	return max(2, int(warm*float64(t.slots)))
}

// run takes a request. Done is called once.
func (t *target) run(c *call, done func(ok bool, o admit.Outcome, work float64)) {
	t.world.jobs++
	j := &job{call: c, seq: t.world.jobs, came: t.world.now, done: done}
	if t.dead {
		t.world.after(near, func() { t.end(j, false, admit.Failed{}) })
		return
	}
	t.inside[j] = struct{}{}
	switch {
	case t.running < t.bears():
		t.begin(j)
	case len(t.waiting) < queueFactor*t.slots:
		t.waiting = append(t.waiting, j)
	default:
		t.end(j, false, admit.Rejected{})
	}
	if t.bears() < t.slots && t.running+len(t.waiting) > bearFactor*t.bears() {
		t.die()
	}
}

// die breaks all that runs or waits. The target is back, cold, after a while.
func (t *target) die() {
	t.dead = true
	t.answers, t.running, t.waiting = 0, 0, nil
	inside := t.inside
	t.inside = map[*job]struct{}{}
	for _, j := range sorted(inside) {
		t.end(j, false, admit.Failed{})
	}
	t.world.after(restartTime, func() { t.dead = false })
}

func (t *target) begin(j *job) {
	t.running++
	t.phase(j, func() { t.below(j, 0) })
}

// phase does half of a request's own work.
func (t *target) phase(j *job, then func()) {
	s := t.world.graph.service(t.node.member.Service())
	d := time.Duration(float64(s.work) / 2 * t.slow * (0.5 + t.world.rnd.Float64()))
	if t.world.plan.control {
		d = min(d, j.call.deadline.Sub(t.world.now))
	}
	t.world.after(d, func() {
		if j.ended {
			return
		}
		j.work += d.Seconds()
		if t.world.plan.control && !t.world.now.Before(j.call.deadline) {
			t.release(j, false, admit.Abandoned{})
			return
		}
		then()
	})
}

// below makes the calls of the services below, from the i-th on.
func (t *target) below(j *job, i int) {
	calls := t.world.graph.service(t.node.member.Service()).calls
	if i == len(calls) {
		t.phase(j, func() { t.release(j, true, admit.NewServed(t.world.now.Sub(j.came))) })
		return
	}
	c := j.call.child(calls[i])
	t.world.call(t.node, c, func(ok bool, work float64) {
		if j.ended {
			t.world.waste(work)
			return
		}
		j.work += work
		j.call.level = min(j.call.level, c.level)
		if !ok {
			t.release(j, false, admit.Abandoned{})
			return
		}
		t.below(j, i+1)
	})
}

func (t *target) release(j *job, ok bool, o admit.Outcome) {
	t.running--
	t.answers++
	t.refill()
	t.end(j, ok, o)
}

// refill begins what waits at the target, the oldest first.
func (t *target) refill() {
	for len(t.waiting) > 0 && t.running < t.bears() && !t.dead {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if t.world.plan.control && !t.world.now.Before(next.call.deadline) {
			t.end(next, false, admit.Abandoned{})
			continue
		}
		t.begin(next)
	}
}

func (t *target) end(j *job, ok bool, o admit.Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	delete(t.inside, j)
	j.done(ok, o, j.work)
}
