package life

import "anvilstand/core/model"

// ID returns the target's id, or "" before the first status.
func (t *Target) ID() string { return t.last.id }

// Version returns the version of the target's program, or "" before the first status.
func (t *Target) Version() string { return t.last.version }

// Slots returns the number of requests that the target runs at a time, or zero
// before the first status.
func (t *Target) Slots() int { return t.last.slots }

// IsCold reports whether the target is warming up, or has to be treated as if it
// were. It is always false for a target that need not report a status.
func (t *Target) IsCold(now model.Instant) bool {
	return t.statusRequired && (t.assumedCold || now.Before(t.coldUntil))
}

// ColdByStatus reports whether the target's own status says that it warms up, and gives
// the time at which its process started. It is false while the target only has to be
// treated as cold.
func (t *Target) ColdByStatus(now model.Instant) (int64, bool) {
	return t.last.processStarted, t.statusRequired && !t.assumedCold && now.Before(t.coldUntil)
}

// Check reports whether the target may get a request now. The error is a
// *model.Refusal of a request that did not run: Leaving if the target is draining or
// deregistered; NoTarget if it has no status, is of another service, may have stopped
// before the daemon started (AwaitStops), or could not be connected to within the last
// reconnectDelay.
func (t *Target) Check(now model.Instant) error {
	if !t.statusRequired {
		return nil
	}
	if !t.known || t.last.service != t.service {
		return model.Refuse(model.NoTarget{}, NotReadyRetryAfter)
	}
	if t.stopsPending && !t.repeated {
		return model.Refuse(model.NoTarget{}, NotReadyRetryAfter)
	}
	if isStopping(t.last.state) {
		return model.Refuse(model.Leaving{}, NotReadyRetryAfter)
	}
	if t.unreachable && now.Sub(t.failedAt) < reconnectDelay {
		return model.Refuse(model.NoTarget{}, NotReadyRetryAfter)
	}
	return nil
}

// Resolve returns a stop that names no start as that of the known one, if the target has
// its id. Any other stop is returned unchanged.
func (t *Target) Resolve(s Stop) Stop {
	if s.processStarted == AnyStart && t.known && t.last.id == s.id {
		s.processStarted = t.last.processStarted
	}
	return s
}

// isRepetition reports whether a status shows that the start of a first one still runs:
// it was sent later and arrived runningDelay later.
func isRepetition(first firstStatus, now model.Instant, s Status) bool {
	return s.sequence > first.status.sequence && now.Sub(first.seenAt) >= runningDelay
}

// isStale reports whether a status is older than the last one, or is of a start
// that has stopped.
func (t *Target) isStale(s Status) bool {
	if started, ok := t.stopped[s.id]; ok && s.processStarted <= started {
		return true
	}
	if !t.known {
		return false
	}
	if s.processStarted != t.last.processStarted {
		return s.processStarted < t.last.processStarted
	}
	return s.id == t.last.id && s.sequence <= t.last.sequence
}
