package front

import (
	"sync/atomic"
	"time"

	"anvilstand/core/model"
	"anvilstand/io/clock"
)

// drainPause is how long a draining target gets no new work. After that, one
// request tests whether it still drains (a half-open probe).
const drainPause = 5 * time.Second

// drainState is a circuit that is open while the target's responses say that it
// drains. What the target reports outside of responses is in life.Target.
type drainState struct {
	clock clock.Clock
	until atomic.Int64 // end of the pause, a model.Instant; zero for no pause
}

// note records whether a response says that the target drains. A response
// that does not say so ends the pause only if its request was sent after the
// pause began, which is drainPause before its end.
func (d *drainState) note(draining bool, sent model.Instant) {
	until := d.until.Load()
	switch {
	case draining:
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
	// Of concurrent requests only the one that extends the pause goes on to
	// test the target.
	if d.until.CompareAndSwap(until, int64(now.Add(drainPause))) {
		return nil
	}
	return model.Refuse(model.Leaving{}, 0)
}
