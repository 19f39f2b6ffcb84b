package life

import "anvilstand/core/model"

// Follow has the target take work only while its own word says so, as a target
// of a service.
func (t *Target) Follow(s model.Service) { t.followed, t.service = true, s }

// Hear takes a word of the target. A word of an earlier start, an older one of
// the same start, and one after the target has left change nothing. It reports
// whether the word is of a new start.
func (t *Target) Hear(now model.Instant, w Word) bool {
	if t.isStale(w) {
		return false
	}
	fresh := !t.known || w.id != t.word.id || w.born != t.word.born
	if !fresh && leaves(t.word.state) && !leaves(w.state) {
		return false
	}
	t.known, t.word = true, w
	t.cold = now.Add(w.cold)
	t.doubted, t.down = false, false
	return fresh
}

// Leave takes the word of a target that it leaves. Nothing that it says later
// in this life brings it back.
func (t *Target) Leave(id string) {
	if !t.known || t.word.id != id {
		return
	}
	t.word.state = Gone{}
	if t.left == nil || len(t.left) >= maxLeft {
		t.left = map[string]int64{}
	}
	t.left[id] = t.word.born
}

// Doubt notes that the target may have become cold, until it speaks again.
func (t *Target) Doubt() { t.doubted = true }

// Refused notes that no connection to the target could be opened: it has
// ended, or starts.
func (t *Target) Refused(now model.Instant) {
	t.down, t.silent, t.doubted = true, now, true
}

// Reached notes that a connection to the target was opened.
func (t *Target) Reached() { t.down = false }

// Replaced notes that another target answered at the address.
func (t *Target) Replaced() {
	if t.known {
		t.Leave(t.word.id)
	}
}

func leaves(s State) bool {
	switch s.(type) {
	case Draining, Gone:
		return true
	case Ready:
		return false
	}
	return false
}
