package admit

import (
	"time"

	"anvilstand/core/model"
)

// Bounds of the level.
const (
	// levelTime is the time between two changes of the level.
	levelTime = 100 * time.Millisecond
	// idleTime is the time without an offer after which all are admitted.
	idleTime = time.Second
	// leastKept is the least part of the offers that one change leaves.
	leastKept = 0.9
	// leastStep and mostStep bound the step by which the level rises.
	leastStep = 8
	mostStep  = 256
)

// tuner finds the level: the place from which on callers should refuse. It
// falls while the queue stands, to the place that as many offers lie below as
// were answered, and rises by growing steps while it does not.
type tuner struct {
	level    model.Place
	bounded  bool
	standing bool
	step     model.Place
	began    model.Instant
	offers   [model.Places]uint32
	offerN   int
	doneN    int
	emptied  bool // the queue was empty at some time in the window
	off      Part
}

func (t *tuner) value() model.Place {
	if !t.bounded || t.off&PartLevel != 0 {
		return model.Places
	}
	return t.level
}

func (t *tuner) offered(now model.Instant, p model.Place) {
	if now.Sub(t.began) > idleTime && t.offerN == 0 {
		t.bounded = false
		t.standing = false
		t.began = now
	}
	t.offers[min(p, model.Places-1)]++
	t.offerN++
}

func (t *tuner) done(o Outcome) {
	switch o.(type) {
	case Served, Abandoned:
		t.doneN++
	case Rejected, Failed:
	}
}

// queued notes how many requests wait.
func (t *tuner) queued(n int) { t.emptied = t.emptied || n == 0 }

// tick closes a window that is over.
func (t *tuner) tick(now model.Instant) {
	if now.Sub(t.began) < levelTime {
		return
	}
	t.standing = !t.emptied && t.offerN > 0
	if t.standing {
		t.fall()
	} else {
		t.rise()
	}
	clear(t.offers[:])
	t.offerN, t.doneN, t.emptied = 0, 0, false
	t.began = now
}

// fall lowers the level so that no more requests come than were answered.
func (t *tuner) fall() {
	t.step = 0
	level := t.value()
	keep := max(t.doneN, int(leastKept*float64(t.offerN)))
	sum := 0
	for p := range t.offers[:level] {
		sum += int(t.offers[p])
		if sum > keep {
			t.level, t.bounded = model.Place(max(1, p)), true
			return
		}
	}
	if t.bounded && t.level > 1 {
		t.level--
	}
}

func (t *tuner) rise() {
	if !t.bounded {
		return
	}
	t.step = min(mostStep, max(leastStep, t.step*2))
	t.level = min(model.Places, t.level+t.step)
	t.bounded = t.level < model.Places
}
