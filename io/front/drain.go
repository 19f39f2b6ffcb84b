package front

import (
	"sync/atomic"
	"time"

	"anvilstand/core/model"
	"anvilstand/io/clock"
)

// drainPause is how long a target that drains gets no new work. After that one
// request finds out whether it still does.
const drainPause = 5 * time.Second

// drainState remembers until when the target wants no new work.
type drainState struct {
	clock clock.Clock
	until atomic.Int64
}

// note takes what an answer says of the target. An answer to a request of
// before the pause does not end it.
func (d *drainState) note(leaving bool, sent model.Instant) {
	until := d.until.Load()
	switch {
	case leaving:
		d.until.Store(int64(d.clock.Now().Add(drainPause)))
	case until != 0 && !sent.Before(model.Instant(until).Add(-drainPause)):
		d.until.CompareAndSwap(until, 0)
	}
}

// check refuses new work while the target drains.
func (d *drainState) check() error {
	until := d.until.Load()
	now := d.clock.Now()
	if until == 0 {
		return nil
	}
	if now.Before(model.Instant(until)) {
		return model.Refuse(model.Leaving{}, 0)
	}
	// Only the one that moves the end of the pause goes on.
	if d.until.CompareAndSwap(until, int64(now.Add(drainPause))) {
		return nil
	}
	return model.Refuse(model.Leaving{}, 0)
}
