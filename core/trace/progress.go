package trace

import "anvilstand/core/model"

// InProgress keeps the steps of requests in progress, so that all steps of a
// request that failed can be logged at its end. The zero value is empty. It is
// not safe for concurrent use.
type InProgress struct{ byID map[model.Request]*steps }

// steps holds the steps of one request at one daemon. A daemon may handle a
// request in several places at a time, such as entry and relay; refs counts
// them.
type steps struct {
	refs   int
	failed bool
	kept   []TimedStep
}

// TimedStep is a step with its time.
type TimedStep struct {
	time model.Instant
	step Step
}

// At returns when the step was taken.
func (t TimedStep) At() model.Instant { return t.time }

// Step returns the step.
func (t TimedStep) Step() Step { return t.step }

// maxSteps is the number of steps that are kept of a request at one daemon. Later
// ones are dropped without a mark, the outcome among them.
const maxSteps = 64

// Begin starts to keep the steps of a request, or counts one more place that
// handles it.
func (p *InProgress) Begin(id model.Request) {
	if p.byID == nil {
		p.byID = map[model.Request]*steps{}
	}
	if p.byID[id] == nil {
		p.byID[id] = &steps{}
	}
	p.byID[id].refs++
}

// Add keeps a step of a request that was begun and not ended. The steps of
// others are ignored.
func (p *InProgress) Add(now model.Instant, id model.Request, step Step) {
	r := p.byID[id]
	if r == nil {
		return
	}
	r.failed = r.failed || ShowsFailure(step)
	if len(r.kept) < maxSteps {
		r.kept = append(r.kept, TimedStep{time: now, step: step})
	}
}

// End ends a request in one place. In the last place it stores the steps in *steps
// and reports whether one of them shows a failure. Otherwise it returns false and
// leaves *steps alone.
func (p *InProgress) End(id model.Request, steps *[]TimedStep) bool {
	r := p.byID[id]
	if r == nil {
		return false
	}
	if r.refs--; r.refs > 0 {
		return false
	}
	delete(p.byID, id)
	*steps = r.kept
	return r.failed
}
