package admit

import (
	"math"
	"time"

	"anvilstand/core/model"
)

// Bounds and steps of the limit.
const (
	// FirstLimit is the limit of a target that starts or was found cold.
	FirstLimit = 4
	// MinLimit is the least limit.
	MinLimit = 2
	// MaxLimit is the largest limit.
	MaxLimit = 4096
	// Tolerance is the latency, in multiples of the least one, that is not
	// taken for queueing at the target.
	Tolerance = 1.3
	// coldGrowth is the most that one answer adds to the limit of a target
	// that may be cold.
	coldGrowth = 1.0 / 4
	// warmAnswers is the number of answers, in multiples of the limit, after
	// which a target counts as warm. It is more than 1/coldGrowth, so that a
	// limit that still grows with each answer does not reach it.
	warmAnswers = 20
	// leastCut and mostCut bound the factor of one cut.
	leastCut = 0.95
	mostCut  = 0.5
	// rejectPart is the part of rejected requests that calls for a cut.
	rejectPart = 0.02
	// uselessCuts is the number of cuts in a row without effect on latency
	// after which they are undone.
	uselessCuts = 2
	// coldFailures is the number of broken connections in a row, without an
	// answer between, after which a target counts as cold.
	coldFailures = 3
	// windowTime and twice as many answers as the limit, within these bounds,
	// close a window of observation, both together.
	windowTime   = 100 * time.Millisecond
	leastAnswers = 8
	mostAnswers  = 20
	// floorTime is how long the least latency is remembered at least.
	floorTime = 10 * time.Second
	// typicalWeight is the weight of a new answer in the typical latency.
	typicalWeight = 0.05
	// fadeAfter is how long after the last answer the typical latency begins
	// to fade, and fadeTime the time in which it halves.
	fadeAfter = time.Second
	fadeTime  = 500 * time.Millisecond
)

// limiter finds how many requests a target bears at a time. It compares the
// mean latency of a window with the least one seen, cuts when it is above
// Tolerance or when the target rejects, and grows when the limit was reached.
type limiter struct {
	limit    float64
	begun    bool
	warm     bool
	served   int // answers since the start
	seen     window
	floor    floor
	recent   float64       // typical latency in seconds
	answered model.Instant // when it was last seen
	failed   int
	cuts     trial
	since    model.Instant // what began before says nothing of this limit
	drains   bool          // more run than the limit, after a cut
	off      Part
}

// window is what was observed since the last decision.
type window struct {
	began    model.Instant
	answers  int
	rejected int
	sum      float64 // of latencies, in seconds
	peak     int     // most requests that ran at a time
	pressed  bool
}

// trial remembers the cuts in a row that did not lower the latency.
type trial struct {
	useless int
	latency float64 // before the last cut, in seconds; zero without a cut
	peak    int     // requests that ran at a time then
	before  float64 // limit before the first cut without effect
}

func (l *limiter) value() int {
	if l.off&PartLimit != 0 || (!l.begun && l.off&PartStart != 0) {
		return FixedLimit
	}
	if !l.begun {
		return FirstLimit
	}
	return int(l.limit)
}

func (l *limiter) begin(now model.Instant) {
	if !l.begun {
		l.limit = float64(l.value())
		l.begun = true
		l.seen.began = now
	}
}

// typical returns the latency that an answer usually takes. Without answers it
// fades, so that a target that answered late is tried again.
func (l *limiter) typical(now model.Instant) time.Duration {
	age := max(0, now.Sub(l.answered)-fadeAfter)
	fade := math.Exp2(-age.Seconds() / fadeTime.Seconds())
	return time.Duration(l.recent * fade * float64(time.Second))
}

// pressed notes that the limit held a request back or was reached.
func (l *limiter) pressed() { l.seen.pressed = true }

// running notes how many requests run.
func (l *limiter) running(n int) { l.seen.peak = max(l.seen.peak, n) }

func (l *limiter) finish(now, began model.Instant, o Outcome, running int) {
	l.begin(now)
	if l.drains && running <= l.value() {
		l.drains = false
		l.since = now
		l.seen = window{began: now, peak: running}
	}
	switch o := o.(type) {
	case Served:
		l.answered = now
		l.answer(began, o.took.Seconds())
	case Rejected:
		l.failed = 0
		if !began.Before(l.since) {
			l.seen.rejected++
		}
	case Failed:
		l.fail(now)
	case Abandoned:
	}
	l.decide(now)
}

func (l *limiter) answer(began model.Instant, took float64) {
	l.failed = 0
	l.served++
	l.warm = l.warm || float64(l.served) >= warmAnswers*l.limit
	if l.recent == 0 {
		l.recent = took
	}
	l.recent += (took - l.recent) * typicalWeight
	if began.Before(l.since) {
		return
	}
	if l.drains {
		return
	}
	l.seen.answers++
	l.seen.sum += took
}

// fail begins anew when connections break one after the other: the target has
// restarted.
func (l *limiter) fail(now model.Instant) {
	l.failed++
	if l.failed < coldFailures {
		return
	}
	l.failed = 0
	if l.off&PartStart != 0 {
		return
	}
	off := l.off
	*l = limiter{limit: FirstLimit, begun: true, recent: l.recent, answered: l.answered, off: off}
	l.seen.began = now
}

// decide closes a window that is over, and changes the limit.
func (l *limiter) decide(now model.Instant) {
	w := l.seen
	n := w.answers + w.rejected
	if l.drains || n < min(mostAnswers, max(leastAnswers, 2*l.value())) || now.Sub(w.began) < max(windowTime, 2*l.typical(now)) {
		return
	}
	l.seen = window{began: now}
	latency := 0.0
	if w.answers > 0 {
		latency = w.sum / float64(w.answers)
		l.floor.note(now, latency)
	}
	switch {
	case float64(w.rejected) > rejectPart*float64(n):
		l.cuts = trial{}
		l.cut(now, w, float64(w.answers)/float64(n))
	case latency > Tolerance*l.floor.least:
		l.slow(now, w, latency)
	default:
		l.cuts = trial{}
		if w.pressed {
			l.set(l.limit + l.growth(w))
		}
	}
}

// growth returns what a window without queueing adds to the limit.
func (l *limiter) growth(w window) float64 {
	if !l.warm && l.off&PartStart == 0 {
		return coldGrowth * float64(w.answers)
	}
	return math.Sqrt(l.limit)
}

// slow cuts the limit because of latency, unless the cuts before had no effect:
// then the latency is not queueing at the target, and they are undone.
func (l *limiter) slow(now model.Instant, w window, latency float64) {
	if l.cuts.latency > 0 {
		fallen := l.cuts.latency * float64(w.peak) / float64(l.cuts.peak)
		if latency > (l.cuts.latency+fallen)/2 {
			l.cuts.useless++
		} else {
			l.cuts = trial{}
		}
	}
	if l.cuts.useless >= uselessCuts && l.off&PartFloor == 0 {
		l.set(l.cuts.before)
		l.floor.move(now, latency)
		l.cuts = trial{}
		return
	}
	if l.cuts.before == 0 {
		l.cuts.before = l.limit
	}
	l.cuts.latency, l.cuts.peak = latency, max(1, w.peak)
	l.cut(now, w, Tolerance*l.floor.least/latency)
}

// cut lowers the limit to a part of what ran.
func (l *limiter) cut(now model.Instant, w window, factor float64) {
	l.since = now
	l.drains = true
	l.set(min(l.limit, float64(w.peak)) * min(leastCut, max(mostCut, factor)))
}

func (l *limiter) set(n float64) {
	if l.off&PartLimit == 0 {
		l.limit = min(MaxLimit, max(MinLimit, n))
	}
}

// floor is the least mean latency of the last floorTime to twice that, kept as
// the least of two periods.
type floor struct {
	least   float64
	earlier float64
	current float64
	turn    model.Instant
}

func (f *floor) note(now model.Instant, latency float64) {
	if f.current == 0 || now.Sub(f.turn) >= floorTime {
		f.earlier, f.current, f.turn = f.current, latency, now
	}
	f.current = min(f.current, latency)
	f.least = f.current
	if f.earlier > 0 {
		f.least = min(f.earlier, f.current)
	}
}

// move sets the least latency anew.
func (f *floor) move(now model.Instant, latency float64) {
	*f = floor{least: latency, current: latency, turn: now}
}
