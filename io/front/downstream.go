package front

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/route"
	"anvilstand/io/clock"
)

// downstreamLevels keeps the admission levels that the target's downstream calls
// met, so that entry daemons shed a request early when its downstream calls would
// be shed. It is for targets that do not say on behalf of which request they make
// a call; for the others see runningRequest.levels.
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

// level returns the lowest level that recent downstream calls met.
func (d *downstreamLevels) level() model.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Lowest(d.clock.Now())
}

// inheritPosition gives a request on an open route of a host, which names no
// running request, the position of an arbitrary request that runs at the target:
// the target may be making it for one of them. All running requests have passed
// the levels that entry daemons enforce, so this one passes them too.
func (f *Front) inheritPosition(j *job) {
	if !j.route.Open() || j.info.Host() == "" {
		return
	}
	position, ok := f.running.anyPosition()
	if !ok {
		return
	}
	j.maybeFromTarget = true
	j.call = model.NewCall(j.call.ID(), "", position.Rank()).WithOrder(position.Order()).WithTimeLeft(j.call.TimeLeft()).WithHost(j.call.Host())
}

// noteLevel records the admission level that a request met, for the running
// request on whose behalf the target makes it, or for the target as a whole if
// the target may be making it without naming one.
func (f *Front) noteLevel(j *job, level model.Position) {
	f.running.noteLevel(j.parentToken, j.service, level)
	if j.maybeFromTarget {
		f.downstream.update(j.service, level)
	}
}
