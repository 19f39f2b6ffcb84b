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
	list   []TimedStep
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

// maxSteps is the number of steps that are kept of a request; later ones are
// dropped.
const maxSteps = 64

// Begin starts to keep the steps of a request, or counts one more place that
// handles it.
func (s *InProgress) Begin(id model.Request) {
	if s.byID == nil {
		s.byID = map[model.Request]*steps{}
	}
	if s.byID[id] == nil {
		s.byID[id] = &steps{}
	}
	s.byID[id].refs++
}

// Add keeps a step of a request that was begun and not ended. The steps of
// others are ignored.
func (s *InProgress) Add(now model.Instant, id model.Request, step Step) {
	r := s.byID[id]
	if r == nil {
		return
	}
	r.failed = r.failed || Failed(step)
	if len(r.list) < maxSteps {
		r.list = append(r.list, TimedStep{time: now, step: step})
	}
}

// End ends a request in one place. In the last place it stores the steps in
// *steps and reports whether the request failed. Otherwise it returns false and
// leaves *steps alone.
func (s *InProgress) End(id model.Request, steps *[]TimedStep) bool {
	r := s.byID[id]
	if r == nil {
		return false
	}
	if r.refs--; r.refs > 0 {
		return false
	}
	delete(s.byID, id)
	*steps = r.list
	return r.failed
}
