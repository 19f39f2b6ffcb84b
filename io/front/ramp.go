package front

import (
	"anvilstand/core/load"
	"anvilstand/core/ramp"
	"anvilstand/io/meter"
)

// logRamp logs when the ramp of the target began or ended since a state before. The lock
// is held.
func (a *admission) logRamp(before ramp.Ramp) {
	r := a.core.Ramp()
	switch {
	case r.Starts() != before.Starts():
		a.log.Info("ramp begins", "cause", ramp.CauseName(r.Cause()), "limit", a.core.Limit(), "share", r.Share(), "known", r.HasReference())
	case before.Active() && !r.Active():
		a.log.Info("ramp ends", "cause", ramp.CauseName(before.Cause()), "why", ramp.EndReasonName(r.LastEnd()),
			"lasted", r.LastDuration().Milliseconds(), "limit", a.core.Limit(), "shrunk", r.Decreases(), "slowest", r.Slowest())
	}
}

// ramp returns the ramp of the target.
func (a *admission) ramp() ramp.Ramp {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Ramp()
}

// registerMetrics adds the metrics of load reports and of the ramp.
func (a *admission) registerMetrics(m *meter.Meter) {
	for _, why := range load.Reasons() {
		m.CounterFuncWith("loadreports_discarded_total", "Load reports of the target that were discarded, by reason.",
			"reason", load.ReasonName(why), func() float64 { return float64(a.discardedReports(why)) })
	}
	m.CounterFunc("ramps_total", "Slow starts of the target without a configured warm-up rate.", func() float64 {
		r := a.ramp()
		return float64(r.Starts())
	})
	m.GaugeFunc("ramp_share", "Share of its limit that the target gets during a slow start, 1 otherwise.", func() float64 {
		r := a.ramp()
		return r.Share()
	})
}
