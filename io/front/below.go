package front

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/route"
	"anvilstand/io/clock"
)

// below remembers the levels that the calls of the target met, so that callers
// refuse a request before it runs whose calls would be refused. It serves
// targets that do not say for which request they make a call.
type below struct {
	clock clock.Clock
	mu    sync.Mutex
	core  route.Levels
}

// note keeps the level that a call met at a service.
func (b *below) note(s model.Service, level model.Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Note(b.clock.Now(), s, level)
}

// level returns the lowest level that calls meet now.
func (b *below) level() model.Place {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Lowest(b.clock.Now())
}

// inherit gives a request on an open route the place of a request that the
// target runs, for which it may be made. What runs has passed the levels that
// callers keep, and so do calls with the places of what runs.
func (f *Front) inherit(j *job) {
	if !j.route.Open() || j.ask.Host() == "" {
		return
	}
	place, ok := f.running.sample()
	if !ok {
		return
	}
	j.below = true
	j.call = model.NewCall(j.call.ID(), "", place.Rank()).WithOrder(place.Order()).WithLeft(j.call.Left()).WithHost(j.call.Host())
}

// met notes the level that a call of the target met.
func (f *Front) met(j *job, level model.Place) {
	f.running.note(j.parent, j.service, level)
	if j.below {
		f.below.note(j.service, level)
	}
}
