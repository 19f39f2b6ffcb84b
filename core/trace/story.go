package trace

import "anvilstand/core/model"

// Stories keep the steps of the requests under way, so that those of a request
// that ended badly can be told whole. The zero value is empty. It is not safe
// for concurrent use.
type Stories struct{ open map[model.Request]*story }

// story is the steps of one request at one daemon, which may carry it in more
// than one place at a time.
type story struct {
	places int
	bad    bool
	told   []Told
}

// Told is a step with its time.
type Told struct {
	at   model.Instant
	step Step
}

// At returns when the step was taken.
func (t Told) At() model.Instant { return t.at }

// Step returns the step.
func (t Told) Step() Step { return t.step }

// maxTold is how many steps of a request are kept.
const maxTold = 64

// Begin opens the story of a request in one more place.
func (s *Stories) Begin(id model.Request) {
	if s.open == nil {
		s.open = map[model.Request]*story{}
	}
	if s.open[id] == nil {
		s.open[id] = &story{}
	}
	s.open[id].places++
}

// Add keeps a step of a request whose story is open.
func (s *Stories) Add(now model.Instant, id model.Request, step Step) {
	o := s.open[id]
	if o == nil {
		return
	}
	o.bad = o.bad || Bad(step)
	if len(o.told) < maxTold {
		o.told = append(o.told, Told{at: now, step: step})
	}
}

// End closes the story of a request in one place. With the last place it gives
// out the steps, and whether the request ended badly.
func (s *Stories) End(id model.Request, told *[]Told) bool {
	o := s.open[id]
	if o == nil {
		return false
	}
	if o.places--; o.places > 0 {
		return false
	}
	delete(s.open, id)
	*told = o.told
	return o.bad
}
