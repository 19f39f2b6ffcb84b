package life

import "anvilstand/core/model"

// ID returns the target's id, empty while it is not known.
func (t *Target) ID() string { return t.word.id }

// Slots returns how many requests the target runs at a time, zero while it is
// not known.
func (t *Target) Slots() int { return t.word.slots }

// Cold reports whether the target is cold, or may be.
func (t *Target) Cold(now model.Instant) bool {
	return t.followed && (t.doubted || now.Before(t.cold))
}

// Check refuses work that the target must not get now. The error is a
// *model.Refusal of a request that did not run.
func (t *Target) Check(now model.Instant) error {
	if !t.followed {
		return nil
	}
	if !t.known || t.word.service != t.service {
		return model.Refuse(model.NoTarget{}, NextTime)
	}
	if leaves(t.word.state) {
		return model.Refuse(model.Leaving{}, NextTime)
	}
	if t.down && now.Sub(t.silent) < retryDown {
		return model.Refuse(model.NoTarget{}, NextTime)
	}
	return nil
}

// isStale reports whether a word is older than what is known.
func (t *Target) isStale(w Word) bool {
	if born, ok := t.left[w.id]; ok && w.born <= born {
		return true
	}
	if !t.known {
		return false
	}
	if w.born != t.word.born {
		return w.born < t.word.born
	}
	return w.id == t.word.id && w.sequence <= t.word.sequence
}
