package admit

import (
	"time"

	"anvilstand/core/load"
	"anvilstand/core/model"
	"anvilstand/core/ramp"
)

// slowStart is the ramp of a target that is cold or back, where it may be on. The zero
// value has none; a target without slots then has the slow start of the limit by latency.
type slowStart struct {
	ramp     ramp.Ramp
	allowed  bool       // no warm-up rate is configured
	cause    ramp.Cause // for which a ramp was last asked, nil while the target is warm
	failures int        // successive broken connections
	// usual has the time of good answers at the usual speed of the warm target.
	usual map[load.Kind]time.Duration
}

// SetColdness tells whether the target is cold, and why (nil: it is not), and whether a
// ramp may be on because no warm-up rate is configured. It begins a ramp for a new cause.
// A target that the daemon only takes to be cold needs to report its slowdown for that,
// and a ramp that is on goes on.
func (c *Controller) SetColdness(now model.Instant, cause ramp.Cause, allowed bool, out *Outbox) {
	s := &c.slowStart
	if !allowed {
		s.ramp.Stop(now, ramp.Configured{})
		cause = nil
	}
	began := cause != nil && cause != s.cause
	s.allowed, s.cause = allowed, cause
	switch cause := cause.(type) {
	case nil:
		if _, isCold := s.ramp.Cause().(ramp.Cold); isCold {
			s.ramp.Stop(now, ramp.Warm{})
			c.Tick(now, out)
		}
	case ramp.Cold:
		if began {
			c.beginRamp(now, cause)
		}
	case ramp.Failed:
		if began && c.model.TellsSlowdown() && !s.ramp.Active() {
			c.beginRamp(now, cause)
		}
	}
}

func (c *Controller) beginRamp(now model.Instant, cause ramp.Cause) {
	c.slowStart.usual = c.model.UsualTimes()
	c.slowStart.ramp.Begin(now, cause, len(c.slowStart.usual) > 0, c.model.SuccessRate(now))
}

// recordRamp records the outcome of a request in the ramp. Connections that break one
// after the other begin a ramp where it replaces the slow start of the limit by latency.
func (c *Controller) recordRamp(now model.Instant, r run, o Outcome) {
	s := &c.slowStart
	switch o := o.(type) {
	case Served:
		s.failures = 0
		if o.isError {
			s.ramp.RecordFailure(now, r.start, c.fullLimit())
			return
		}
		if s.ramp.Active() {
			s.ramp.RecordSuccess(now, r.start, c.model.AtUsualSpeed(now, o.took), c.usualTime(r.kind), c.fullLimit())
		}
	case Rejected:
		s.failures = 0
		s.ramp.RecordFailure(now, r.start, c.fullLimit())
	case Failed:
		s.failures++
		s.ramp.RecordFailure(now, r.start, c.fullLimit())
		if s.failures >= restartFailures && c.replacesSlowStart() && !s.ramp.Active() {
			s.failures = 0
			c.beginRamp(now, ramp.Failed{})
		}
	case Abandoned:
	}
}

// usualTime returns the time that the warm target takes for a request of a kind. If that
// is not known, it is what answers of that kind took so far.
func (c *Controller) usualTime(k load.Kind) time.Duration {
	if d, ok := c.slowStart.usual[k]; ok {
		return d
	}
	return c.model.UsualTime(k)
}

// replacesSlowStart reports whether the target gets a ramp in place of the slow start of
// the limit by latency when it has probably restarted.
func (c *Controller) replacesSlowStart() bool {
	return c.slowStart.allowed && c.model.TellsSlowdown()
}

// Ramp returns the ramp of the target.
func (c *Controller) Ramp() ramp.Ramp { return c.slowStart.ramp }
