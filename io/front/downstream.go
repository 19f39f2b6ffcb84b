package front

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/route"
	"anvilstand/io/clock"
)

// downstreamLevels remembers the levels that the calls of the target met, so that callers
// refuse a request before it runs whose calls would be refused. It serves
// targets that do not say for which request they make a call.
type downstreamLevels struct {
	clock clock.Clock
	mu    sync.Mutex
	core  route.Levels
}

// note keeps the level that a call met at a service.
func (d *downstreamLevels) note(s model.Service, level model.Place) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Note(d.clock.Now(), s, level)
}

// level returns the lowest level that calls meet now.
func (d *downstreamLevels) level() model.Place {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Lowest(d.clock.Now())
}

// inheritPlace gives a request on an open route the place of a request that the
// target runs, for which it may be made. What runs has passed the levels that
// callers keep, and so do calls with the places of what runs.
func (f *Front) inheritPlace(j *job) {
	if !j.route.Open() || j.ask.Host() == "" {
		return
	}
	place, ok := f.running.anyPlace()
	if !ok {
		return
	}
	j.fromTarget = true
	j.call = model.NewCall(j.call.ID(), "", place.Rank()).WithOrder(place.Order()).WithLeft(j.call.Left()).WithHost(j.call.Host())
}

// noteLevel notes the level that a call of the target noteLevel.
func (f *Front) noteLevel(j *job, level model.Place) {
	f.running.noteLevel(j.parentToken, j.service, level)
	if j.fromTarget {
		f.downstream.note(j.service, level)
	}
}
