package admit

import (
	"time"

	"anvilstand/core/model"
)

// Timing and steps of the admission level.
const (
	// levelInterval is the length of a window. The level changes at its end.
	levelInterval = 100 * time.Millisecond
	// levelIdleTimeout is the time without an offer after which the level no longer
	// applies.
	levelIdleTimeout = time.Second
	// minKeptFraction bounds one lowering: it is meant to leave at least this
	// fraction of the offers below the level.
	minKeptFraction = 0.9
	// minRaise and maxRaise bound the step, in positions, by which the level
	// rises.
	minRaise = 8
	maxRaise = 256
)

// levelTuner sets the admission level by priority, as in DAGOR: callers should
// shed requests whose position is at or above it. When the queue was never empty
// during a window (a standing queue, the sign of overload in CoDel), it lowers the
// level so far that as many offers lie below it as were answered, but at least
// minKeptFraction of them. Otherwise it raises the level, by a step that doubles
// each time.
type levelTuner struct {
	level         model.Position
	active        bool           // false: no level applies, all requests are admitted
	standingQueue bool           // in the last window
	step          model.Position // of the last raise
	windowStart   model.Instant
	offers        [model.PositionCount]uint32
	offerCount    int
	doneCount     int
	queueEmptied  bool // at some time in the window
	disabled      Feature
}

// value returns the level. It is the number of positions, which admits every
// request, when no level applies.
func (t *levelTuner) value() model.Position {
	if !t.active || t.disabled&FeatureLevel != 0 {
		return model.PositionCount
	}
	return t.level
}

// recordOffer counts a request that came to the controller.
func (t *levelTuner) recordOffer(now model.Instant, p model.Position) {
	if now.Sub(t.windowStart) > levelIdleTimeout && t.offerCount == 0 {
		t.active = false
		t.standingQueue = false
		t.windowStart = now
	}
	t.offers[min(p, model.PositionCount-1)]++
	t.offerCount++
}

// recordOutcome counts a request that ended. Rejected and Failed are no evidence
// that the target keeps up with its requests.
func (t *levelTuner) recordOutcome(o Outcome) {
	switch o.(type) {
	case Served, Abandoned:
		t.doneCount++
	case Rejected, Failed:
	}
}

// recordQueued records the length of the queue.
func (t *levelTuner) recordQueued(n int) { t.queueEmptied = t.queueEmptied || n == 0 }

// tick changes the level at the end of a window.
func (t *levelTuner) tick(now model.Instant) {
	if now.Sub(t.windowStart) < levelInterval {
		return
	}
	t.standingQueue = !t.queueEmptied && t.offerCount > 0
	if t.standingQueue {
		t.lower()
	} else {
		t.raise()
	}
	clear(t.offers[:])
	t.offerCount, t.doneCount, t.queueEmptied = 0, 0, false
	t.windowStart = now
}

// lower sets the level so that the offers below it were at most as many as the
// answers, or minKeptFraction of the offers if that is more. Offers at the same
// position are not split, so that fewer may remain. A level that admits no more
// than that already is lowered by one.
func (t *levelTuner) lower() {
	t.step = 0
	level := t.value()
	keep := max(t.doneCount, int(minKeptFraction*float64(t.offerCount)))
	sum := 0
	for p := range t.offers[:level] {
		sum += int(t.offers[p])
		if sum > keep {
			t.level, t.active = model.Position(max(1, p)), true
			return
		}
	}
	if t.active && t.level > 1 {
		t.level--
	}
}

// raise lifts the level by a growing step until it admits all requests again.
func (t *levelTuner) raise() {
	if !t.active {
		return
	}
	t.step = min(maxRaise, max(minRaise, t.step*2))
	t.level = min(model.PositionCount, t.level+t.step)
	t.active = t.level < model.PositionCount
}
