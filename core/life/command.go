package life

import "anvilstand/core/model"

// RequireStatus makes the target take work only while its status says that it is
// ready and of service s. Without this call it is always taken to be ready.
func (t *Target) RequireStatus(s model.Service) { t.statusRequired, t.service = true, s }

// Update takes a status. It ignores one of an earlier start, an older one of the
// same start, and one that says ready after the same start has begun to drain
// or deregistered. It reports whether the status is of a new start.
func (t *Target) Update(now model.Instant, s Status) bool {
	if t.isStale(s) && !t.confirmsOther(now, s) {
		return false
	}
	t.other = otherStart{}
	isNewStart := !t.known || s.id != t.last.id || s.processStarted != t.last.processStarted
	if !isNewStart && isStopping(t.last.state) && !isStopping(s.state) {
		return false
	}
	t.known, t.last = true, s
	t.coldUntil = now.Add(s.remainingWarmup)
	t.assumedCold, t.unreachable = false, false
	return isNewStart
}

// confirmsOther reports whether a stale status shows that another start than the
// known one runs. Its process may have started at an earlier time by a clock that
// was set back. A status that arrives late comes once; a running target reports
// again. Nothing is confirmed while statuses of the known start arrive.
func (t *Target) confirmsOther(now model.Instant, s Status) bool {
	started, gone := t.deregistered[s.id]
	if s.processStarted == t.last.processStarted || (gone && s.processStarted == started) {
		return false
	}
	if t.other.status.id != s.id || t.other.status.processStarted != s.processStarted {
		t.other = otherStart{status: s, seenAt: now}
		return false
	}
	if s.sequence <= t.other.status.sequence || now.Sub(t.other.seenAt) < otherStartDelay {
		return false
	}
	delete(t.deregistered, s.id)
	return true
}

// Deregister marks the target as deregistered, if id is its id. A later status of
// the same start doesn't undo that.
func (t *Target) Deregister(id string) {
	if !t.known || t.last.id != id {
		return
	}
	t.last.state = Deregistered{}
	if t.deregistered == nil || len(t.deregistered) >= maxDeregistered {
		t.deregistered = map[string]int64{}
	}
	t.deregistered[id] = t.last.processStarted
}

// AssumeCold makes the target count as cold until its next status.
func (t *Target) AssumeCold() { t.assumedCold = true }

// ConnectFailed records that no connection to the target could be opened: it has
// ended or is starting. It counts as cold until its next status, and gets no work
// for reconnectDelay.
func (t *Target) ConnectFailed(now model.Instant) {
	t.unreachable, t.failedAt, t.assumedCold = true, now, true
}

// Connected records that a connection to the target was opened.
func (t *Target) Connected() { t.unreachable = false }

// OtherTargetAnswered records that another target responded at the address. The
// known one is marked as deregistered, so that requests are refused (reason Leaving)
// until a status of another start.
func (t *Target) OtherTargetAnswered() {
	if t.known {
		t.Deregister(t.last.id)
	}
}

// isStopping reports whether a target in this state takes no new work.
func isStopping(s State) bool {
	switch s.(type) {
	case Draining, Deregistered:
		return true
	case Ready:
		return false
	}
	return false
}
