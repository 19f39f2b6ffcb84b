package front

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/route"
	"anvilstand/io/clock"
)

// downstreamLevels keeps the admission levels that the target's downstream
// calls met, so that callers refuse a request early when its downstream calls
// would be refused. It serves targets that do not say on behalf of which
// request they make a call.
type downstreamLevels struct {
	clock clock.Clock
	mu    sync.Mutex
	core  route.LevelCache
}

// update records the level that a call met at a service.
func (d *downstreamLevels) update(s model.Service, level model.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Update(d.clock.Now(), s, level)
}

// level returns the lowest level that downstream calls meet now.
func (d *downstreamLevels) level() model.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Lowest(d.clock.Now())
}

// inheritPosition gives a request on an open route the position of one that the
// target is running, as it may be made on its behalf. Running requests have
// passed the levels that callers enforce, so calls with the positions of
// running requests pass them too.
func (f *Front) inheritPosition(j *job) {
	if !j.route.Open() || j.info.Host() == "" {
		return
	}
	position, ok := f.running.anyPosition()
	if !ok {
		return
	}
	j.fromTarget = true
	j.call = model.NewCall(j.call.ID(), "", position.Rank()).WithOrder(position.Order()).WithTimeLeft(j.call.TimeLeft()).WithHost(j.call.Host())
}

// noteLevel records the admission level that a request met, for the running
// request on whose behalf the target makes it.
func (f *Front) noteLevel(j *job, level model.Position) {
	f.running.noteLevel(j.parentToken, j.service, level)
	if j.fromTarget {
		f.downstream.update(j.service, level)
	}
}
