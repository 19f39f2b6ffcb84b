package front

import (
	"sync"

	"anvilstand/core/model"
	"anvilstand/core/route"
	"anvilstand/io/clock"
)

// downstreamLevels keeps the admission levels that the target's downstream calls
// met, so that entry daemons shed a request early when its downstream calls would
// be shed. It is for calls that do not tell on behalf of which request they are made;
// for the others see runningRequest.levels.
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

// inheritParent gives a request on an open route of a host, which carries no token,
// the organisation and position of the running request on whose behalf the target
// makes it: the one that its id names. All calls of a chain then have the place of the
// request at its root in every queue, so that services under overload refuse the same
// roots. If the id names none, it gets the position of an arbitrary running request:
// the target may be making it for one of them, and all have passed the levels that
// entry daemons enforce.
func (f *Front) inheritParent(j *job) {
	if !j.route.Open() || j.info.Host() == "" {
		return
	}
	org := model.Org("")
	parent, token, named := f.running.find(j.info.ParentID())
	if named {
		j.parentToken, org = token, parent.Org()
	} else if parent, j.maybeFromTarget = f.running.any(); !j.maybeFromTarget {
		return
	}
	j.call = model.NewCall(j.call.ID(), org, parent.Rank()).WithOrder(parent.Order()).WithTimeLeft(j.call.TimeLeft()).WithHost(j.call.Host())
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
