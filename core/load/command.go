package load

import (
	"math"
	"time"

	"anvilstand/core/model"
)

// Observe takes a report that came with a response. It discards a report with other
// slots than the target's status has, unless that has none (zero).
func (m *Model) Observe(now model.Instant, r Report, slots int) bool {
	if slots > 0 && r.slots != slots {
		m.Discard(Contradicting{})
		return false
	}
	isFresh := m.isFresh(now)
	if m.observed && !isFresh {
		m.Discard(Stale{})
	}
	if _, told := m.last.Slowdown(); !told || !isFresh {
		m.slowdown = r.slowdown
	}
	m.slowdown += (r.slowdown - m.slowdown) * (1 - decay(m.observedAt, now, slowdownTime))
	m.last, m.observed, m.observedAt = r, true, now
	return true
}

// Discard counts a report that was discarded.
func (m *Model) Discard(why Reason) {
	if m.discarded == nil {
		m.discarded = map[Reason]uint64{}
	}
	m.discarded[why]++
}

// RecordSuccess records the time of a good answer to a request of a kind.
func (m *Model) RecordSuccess(now model.Instant, k Kind, took time.Duration) {
	usual := m.AtUsualSpeed(now, took).Seconds()
	m.usual.Add(now, usual)
	m.kind(k).Add(now, usual)
	m.good.add(now)
}

// kind returns the mean time of a kind. Beyond maxKinds it is that of the empty kind.
func (m *Model) kind(k Kind) *Mean {
	if m.kinds == nil {
		m.kinds = map[Kind]*Mean{}
	}
	if m.kinds[k] == nil && len(m.kinds) >= maxKinds {
		k = ""
	}
	if m.kinds[k] == nil {
		m.kinds[k] = &Mean{}
	}
	return m.kinds[k]
}

// RecordFailure records an answer that was a failure or a rejection, or that did not come.
func (m *Model) RecordFailure(now model.Instant) { m.bad.add(now) }

// Add adds a sample.
func (d *Mean) Add(now model.Instant, x float64) {
	d.weight = max(d.weight*decay(d.at, now, answerTime), min(d.weight, minMeanWeight)) + 1
	d.value += (x - d.value) / d.weight
	d.at = now
}

func (d *decayedCount) add(now model.Instant) {
	d.count, d.at = d.value(now)+1, now
}

// decay returns the weight that is left of a sample after the time between two
// instants.
func decay(from, to model.Instant, constant time.Duration) float64 {
	return math.Exp(-max(0, to.Sub(from).Seconds()) / constant.Seconds())
}
