package load

import (
	"math"
	"time"

	"anvilstand/core/model"
)

// isFresh reports whether the last report still counts.
func (m *Model) isFresh(now model.Instant) bool {
	return m.observed && now.Sub(m.observedAt) <= MaxAge
}

// Slowdown returns the smoothed time that work takes now, as a multiple of the usual
// time. It returns false if the target does not report it, or has not for MaxAge.
func (m *Model) Slowdown(now model.Instant) (float64, bool) {
	if _, told := m.last.Slowdown(); !told || !m.isFresh(now) {
		return 0, false
	}
	return m.slowdown, true
}

// Time returns the time for a request that starts now: the usual time of good answers,
// at the present slowdown, divided by the share of good answers, because a request that
// fails needs another one. It returns false unless the slowdown and at least one answer
// are known.
func (m *Model) Time(now model.Instant) (time.Duration, bool) {
	d := m.WorkTime(now)
	return min(maxTime, time.Duration(float64(d)/m.SuccessRate(now))), d > 0
}

// WorkTime returns the time in which the target answers a request that starts now, zero
// unless the slowdown and at least one answer are known.
func (m *Model) WorkTime(now model.Instant) time.Duration {
	s, ok := m.Slowdown(now)
	if !ok {
		return 0
	}
	return time.Duration(min(m.usual.value*s, maxTime.Seconds()) * float64(time.Second))
}

// TellsSlowdown reports whether the last report had the slowdown, however old it is.
func (m *Model) TellsSlowdown() bool {
	_, ok := m.last.Slowdown()
	return ok
}

// UsualTimes returns the time of good answers at the usual speed of the target, by kind.
func (m *Model) UsualTimes() map[Kind]time.Duration {
	times := make(map[Kind]time.Duration, len(m.kinds))
	for k := range m.kinds {
		times[k] = m.UsualTime(k)
	}
	return times
}

// UsualTime returns the time of good answers of a kind at the usual speed of the target,
// zero if there were none.
func (m *Model) UsualTime(k Kind) time.Duration {
	mean := m.lookup(k)
	if mean == nil {
		return 0
	}
	return time.Duration(mean.value * float64(time.Second))
}

// lookup returns the mean time of a kind, that of the empty kind for those beyond
// maxKinds, and nil if nothing is known.
func (m *Model) lookup(k Kind) *Mean {
	if mean := m.kinds[k]; mean != nil || len(m.kinds) < maxKinds {
		return mean
	}
	return m.kinds[""]
}

// KindTime returns the time in which the target answers a request of a kind that starts
// now, zero if it is not known. It returns false if the slowdown is not known.
func (m *Model) KindTime(now model.Instant, k Kind) (time.Duration, bool) {
	s, ok := m.Slowdown(now)
	mean := m.lookup(k)
	if !ok || mean == nil {
		return 0, ok
	}
	age := max(0, now.Sub(mean.at)-decayDelay)
	d := mean.value * s * math.Exp2(-age.Seconds()/decayHalfLife.Seconds())
	return time.Duration(min(d, maxTime.Seconds()) * float64(time.Second)), true
}

// AtUsualSpeed returns the time of an answer as it would be at the usual speed of the
// target.
func (m *Model) AtUsualSpeed(now model.Instant, took time.Duration) time.Duration {
	if s, ok := m.Slowdown(now); ok {
		return time.Duration(float64(took) / s)
	}
	return took
}

// Slots returns the slots in the last report.
func (m *Model) Slots() int { return m.last.slots }

// Value returns the mean, zero without samples.
func (d *Mean) Value() float64 { return d.value }

// SuccessRate returns the share of good answers, from minGoodShare to 1.
func (m *Model) SuccessRate(now model.Instant) float64 {
	good := m.good.value(now) + priorGood
	return max(minGoodShare, good/(good+m.bad.value(now)))
}

// Discarded returns how many reports were discarded for a reason.
func (m *Model) Discarded(why Reason) uint64 { return m.discarded[why] }

func (d *decayedCount) value(now model.Instant) float64 {
	return d.count * decay(d.at, now, answerTime)
}
