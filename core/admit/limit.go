package admit

import (
	"math"
	"time"

	"anvilstand/core/model"
)

// Bounds and steps of the concurrency limit.
const (
	// InitialLimit is the limit, in requests, at which slow start begins: for a
	// new controller, and when the target has probably restarted.
	InitialLimit = 4
	// MinLimit and MaxLimit bound the limit, in requests.
	MinLimit = 2
	MaxLimit = 4096
	// LatencyTolerance is the mean latency, as a multiple of the minimum, above
	// which requests are taken to be queueing at the target.
	LatencyTolerance = 1.3
	// slowStartIncrease is what each answer of a window adds to the limit during
	// slow start, in requests.
	slowStartIncrease = 1.0 / 4
	// slowStartAnswersPerLimit times the limit is the number of answers after
	// which slow start is over. It has to be greater than 1/slowStartIncrease:
	// while the limit grows with each answer, that number then grows faster than
	// the answers counted, so that slow start goes on until the limit stops
	// growing.
	slowStartAnswersPerLimit = 20
	// maxDecreaseFactor and minDecreaseFactor bound the factor of one decrease.
	maxDecreaseFactor = 0.95
	minDecreaseFactor = 0.5
	// maxRejectedFraction is the fraction of a window's requests rejected by the
	// target above which the limit is decreased.
	maxRejectedFraction = 0.02
	// maxIneffective is the number of successive decreases without effect on
	// latency after which they are undone.
	maxIneffective = 2
	// restartFailures is the number of successive broken connections, without
	// an answer in between, after which the target is taken to have restarted.
	restartFailures = 3
	// A measurement window ends when it has lasted minWindow and has seen twice
	// as many answers as the limit, bounded by minWindowAnswers and
	// maxWindowAnswers.
	minWindow        = 100 * time.Millisecond
	minWindowAnswers = 8
	maxWindowAnswers = 20
	// minLatencyPeriod is the shortest time for which a minimum latency counts.
	minLatencyPeriod = 10 * time.Second
	// latencyWeight is the weight of a new answer, from 0 to 1, in the
	// exponentially weighted moving average of the latency.
	latencyWeight = 0.05
	// decayDelay is the time without an answer after which the average latency
	// begins to decay, and decayHalfLife the time in which it halves.
	decayDelay    = time.Second
	decayHalfLife = 500 * time.Millisecond
)

// limiter adapts the concurrency limit to the ratio of mean to minimum latency (a
// gradient limit, akin to TCP Vegas). At the end of each window it decreases the
// limit by a factor when the mean is above LatencyTolerance times the minimum or
// when the target rejected requests, and otherwise increases it if it was reached:
// with each answer during slow start, by its square root afterwards. Decreases that
// do not lower the latency are undone (see handleSlow). Slow start depends on the
// answers counted alone, not on a warm-up that the target reports.
type limiter struct {
	limit          float64
	initialised    bool // the limit has its first value
	slowStartOver  bool
	answerCount    int // since the beginning of slow start
	window         window
	minLatency     minLatency
	latencyAverage float64       // exponentially weighted moving average, in seconds
	lastAnswer     model.Instant // time of the last one
	failures       int           // successive broken connections
	decreases      ineffectiveDecreases
	countedFrom    model.Instant // requests that started earlier ran under another limit
	overLimit      bool          // more requests run than the limit allows, after a decrease
	rampOnRestart  bool          // the ramp handles a presumed restart
	disabled       Feature
}

// window is what was measured since the limit was last reviewed.
type window struct {
	start        model.Instant
	answers      int
	rejected     int
	latencySum   float64 // in seconds
	peakRunning  int     // most requests that ran at the same time
	limitReached bool
}

// ineffectiveDecreases tracks successive decreases of the limit that did not lower
// the latency.
type ineffectiveDecreases struct {
	count         int
	latencyBefore float64 // mean before the last decrease, in seconds; zero without one
	peakBefore    int     // most requests that ran at the same time then
	limitBefore   float64 // limit before the first of the decreases
}

// value returns the limit.
func (l *limiter) value() int {
	if l.disabled&FeatureLimit != 0 || (!l.initialised && l.disabled&FeatureSlowStart != 0) {
		return FixedLimit
	}
	if !l.initialised {
		return InitialLimit
	}
	return int(l.limit)
}

// start sets the first limit and begins the first window.
func (l *limiter) start(now model.Instant) {
	if !l.initialised {
		l.limit = float64(l.value())
		l.initialised = true
		l.window.start = now
	}
}

// typicalLatency returns the average latency. It decays while there are no
// answers, so that a target whose answers were late gets requests again.
func (l *limiter) typicalLatency(now model.Instant) time.Duration {
	age := max(0, now.Sub(l.lastAnswer)-decayDelay)
	decay := math.Exp2(-age.Seconds() / decayHalfLife.Seconds())
	return time.Duration(l.latencyAverage * decay * float64(time.Second))
}

// recordLimitReached records that the limit was reached or kept a request waiting.
func (l *limiter) recordLimitReached() { l.window.limitReached = true }

// recordRunning records the number of running requests.
func (l *limiter) recordRunning(n int) { l.window.peakRunning = max(l.window.peakRunning, n) }

// finish records the outcome of a request, and adjusts the limit when the window
// ends. After a decrease, a new window begins once the running requests are down
// to the limit.
func (l *limiter) finish(now, startTime model.Instant, o Outcome, running int) {
	l.start(now)
	if l.overLimit && running <= l.value() {
		l.overLimit = false
		l.countedFrom = now
		l.window = window{start: now, peakRunning: running}
	}
	switch o := o.(type) {
	case Served:
		l.lastAnswer = now
		l.recordAnswer(startTime, o.took.Seconds())
	case Rejected:
		l.failures = 0
		if !startTime.Before(l.countedFrom) {
			l.window.rejected++
		}
	case Failed:
		l.recordFailure(now)
	case Abandoned:
	}
	l.closeWindow(now)
}

// recordAnswer records a latency in seconds.
func (l *limiter) recordAnswer(startTime model.Instant, took float64) {
	l.failures = 0
	l.answerCount++
	l.slowStartOver = l.slowStartOver || float64(l.answerCount) >= slowStartAnswersPerLimit*l.limit
	if l.latencyAverage == 0 {
		l.latencyAverage = took
	}
	l.latencyAverage += (took - l.latencyAverage) * latencyWeight
	if startTime.Before(l.countedFrom) {
		return
	}
	if l.overLimit {
		return
	}
	l.window.answers++
	l.window.latencySum += took
}

// recordFailure starts again with InitialLimit and slow start after
// restartFailures successive broken connections: the target has probably
// restarted.
func (l *limiter) recordFailure(now model.Instant) {
	l.failures++
	if l.failures < restartFailures {
		return
	}
	l.failures = 0
	if l.rampOnRestart || l.disabled&FeatureSlowStart != 0 {
		return
	}
	disabled := l.disabled
	*l = limiter{limit: InitialLimit, initialised: true, latencyAverage: l.latencyAverage, lastAnswer: l.lastAnswer, disabled: disabled}
	l.window.start = now
}

// closeWindow ends the window once it is long enough, and adjusts the limit.
func (l *limiter) closeWindow(now model.Instant) {
	w := l.window
	n := w.answers + w.rejected
	if l.overLimit || n < min(maxWindowAnswers, max(minWindowAnswers, 2*l.value())) || now.Sub(w.start) < max(minWindow, 2*l.typicalLatency(now)) {
		return
	}
	l.window = window{start: now}
	latency := 0.0
	if w.answers > 0 {
		latency = w.latencySum / float64(w.answers)
		l.minLatency.record(now, latency)
	}
	switch {
	case float64(w.rejected) > maxRejectedFraction*float64(n):
		l.decreases = ineffectiveDecreases{}
		l.decrease(now, w, float64(w.answers)/float64(n))
	case latency > LatencyTolerance*l.minLatency.value:
		l.handleSlow(now, w, latency)
	default:
		l.decreases = ineffectiveDecreases{}
		if w.limitReached {
			l.setLimit(l.limit + l.increase(w))
		}
	}
}

// increase returns what a window without queueing at the target adds to the limit,
// in requests.
func (l *limiter) increase(w window) float64 {
	if !l.slowStartOver && l.disabled&FeatureSlowStart == 0 {
		return slowStartIncrease * float64(w.answers)
	}
	return math.Sqrt(l.limit)
}

// handleSlow decreases the limit because of high latency. When the previous
// decreases had no effect, the latency does not come from queueing at the target:
// they are undone, and this latency becomes the new minimum. Latency that comes
// from queueing falls in proportion to the running requests; a decrease counts as
// ineffective if the latency fell by less than half of that.
func (l *limiter) handleSlow(now model.Instant, w window, latency float64) {
	if l.decreases.latencyBefore > 0 {
		proportional := l.decreases.latencyBefore * float64(w.peakRunning) / float64(l.decreases.peakBefore)
		if latency > (l.decreases.latencyBefore+proportional)/2 {
			l.decreases.count++
		} else {
			l.decreases = ineffectiveDecreases{}
		}
	}
	if l.decreases.count >= maxIneffective && l.disabled&FeatureUndoDecreases == 0 {
		l.setLimit(l.decreases.limitBefore)
		l.minLatency.reset(now, latency)
		l.decreases = ineffectiveDecreases{}
		return
	}
	if l.decreases.limitBefore == 0 {
		l.decreases.limitBefore = l.limit
	}
	l.decreases.latencyBefore, l.decreases.peakBefore = latency, max(1, w.peakRunning)
	l.decrease(now, w, LatencyTolerance*l.minLatency.value/latency)
}

// decrease sets the limit to a fraction of the requests that ran, and ignores
// requests started under the old limit.
func (l *limiter) decrease(now model.Instant, w window, factor float64) {
	l.countedFrom = now
	l.overLimit = true
	l.setLimit(min(l.limit, float64(w.peakRunning)) * min(maxDecreaseFactor, max(minDecreaseFactor, factor)))
}

// setLimit sets the limit within MinLimit and MaxLimit.
func (l *limiter) setLimit(n float64) {
	if l.disabled&FeatureLimit == 0 {
		l.limit = min(MaxLimit, max(MinLimit, n))
	}
}

// minLatency is the least mean latency of a window, in seconds, over the last
// minLatencyPeriod to twice that. It is the minimum of two successive periods, so
// that an old minimum is forgotten.
type minLatency struct {
	value       float64
	previous    float64
	current     float64
	periodStart model.Instant
}

// record records the mean latency of a window, in seconds.
func (m *minLatency) record(now model.Instant, latency float64) {
	if m.current == 0 || now.Sub(m.periodStart) >= minLatencyPeriod {
		m.previous, m.current, m.periodStart = m.current, latency, now
	}
	m.current = min(m.current, latency)
	m.value = m.current
	if m.previous > 0 {
		m.value = min(m.previous, m.current)
	}
}

// reset forgets earlier latencies and starts a period with a given one.
func (m *minLatency) reset(now model.Instant, latency float64) {
	*m = minLatency{value: latency, current: latency, periodStart: now}
}
