package life

import "anvilstand/core/model"

// RequireStatus makes the target take work only while its status says that it is
// ready and of service s. Without this call it is always taken to be ready.
func (t *Target) RequireStatus(s model.Service) { t.statusRequired, t.service = true, s }

// AwaitStops makes the target get no work until Restore has told all of its starts that
// have stopped, or until its status shows that it still runs: a status that arrives
// late comes once, a running target reports again.
func (t *Target) AwaitStops() { t.stopsPending = true }

// Restore takes the stops that earlier processes of the daemon have recorded. If some may
// be missing, the target goes on as after AwaitStops.
func (t *Target) Restore(h StopHistory) {
	t.stopsPending = h.partial
	for _, s := range h.stops {
		t.stop(s)
	}
}

// Update takes a status. It ignores one of an earlier start, an older one of the
// same start, and one of a start that has stopped. It reports whether the status is of a
// new start.
func (t *Target) Update(now model.Instant, s Status) bool {
	confirmed := false
	if t.isStale(s) {
		if confirmed = t.confirmsOther(now, s); !confirmed {
			return false
		}
	}
	t.other = firstStatus{}
	isNewStart := confirmed || !t.known || s.id != t.last.id || s.processStarted != t.last.processStarted
	if !isNewStart && isStopping(t.last.state) && !isStopping(s.state) {
		return false
	}
	if isNewStart {
		t.first = firstStatus{status: s, seenAt: now}
	}
	t.repeated = confirmed || (!isNewStart && (t.repeated || isRepetition(t.first, now, s)))
	if t.repeated && s.processStarted > 0 {
		t.stopsPending = false // a status of an earlier start is stale from now on
	}
	t.known, t.last = true, s
	t.coldUntil = now.Add(s.remainingWarmup)
	t.assumedCold = t.mayHaveCrashed && !isNewStart && !t.confirmsRunning(now, s)
	t.mayHaveCrashed, t.unreachable = t.assumedCold, false
	return isNewStart
}

// confirmsRunning reports whether a status shows that its start has not crashed when a
// connection failed. One that arrives late comes once; a running target reports again.
func (t *Target) confirmsRunning(now model.Instant, s Status) bool {
	if t.afterFailure == nil {
		t.afterFailure = &firstStatus{status: s, seenAt: now}
		return false
	}
	return isRepetition(*t.afterFailure, now, s)
}

// confirmsOther reports whether a stale status shows that another start than the
// known one runs. Its process may have started at an earlier time by a clock that
// was set back, or after a stop that named no start. A status that arrives late comes
// once; a running target reports again. Nothing is confirmed while statuses of the known
// start arrive.
func (t *Target) confirmsOther(now model.Instant, s Status) bool {
	started, stopped := t.stopped[s.id]
	if stopped && s.processStarted == started {
		return false
	}
	if s.processStarted == t.last.processStarted && started != AnyStart {
		return false
	}
	if t.other.status.id != s.id || t.other.status.processStarted != s.processStarted {
		t.other = firstStatus{status: s, seenAt: now}
		return false
	}
	if !isRepetition(t.other, now, s) {
		return false
	}
	delete(t.stopped, s.id)
	return true
}

// Deregister records that a start of the target has stopped. A later status of that
// start doesn't undo it.
func (t *Target) Deregister(s Stop) { t.stop(t.Resolve(s)) }

func (t *Target) stop(s Stop) {
	if t.known && t.last.id == s.id && t.last.processStarted <= s.processStarted {
		t.last.state = Deregistered{}
	}
	if t.stopped == nil || len(t.stopped) >= maxStopped {
		t.stopped = map[string]int64{}
	}
	if started, ok := t.stopped[s.id]; !ok || started < s.processStarted {
		t.stopped[s.id] = s.processStarted
	}
}

// AssumeCold makes the target count as cold until its next status.
func (t *Target) AssumeCold() { t.assumedCold = true }

// ConnectFailed records that no connection to the target could be opened: it has
// ended or is starting. It counts as cold until a status of a new start, or until the known
// one has reported again, and gets no work for reconnectDelay.
func (t *Target) ConnectFailed(now model.Instant) {
	t.unreachable, t.failedAt, t.assumedCold = true, now, true
	t.mayHaveCrashed, t.afterFailure = true, nil
}

// Connected records that a connection to the target was opened.
func (t *Target) Connected() { t.unreachable = false }

// OtherTargetAnswered records that another target responded at the address. The
// known one is marked as deregistered, so that requests are refused (reason Leaving)
// until a status of another start.
func (t *Target) OtherTargetAnswered() {
	if t.known {
		t.Deregister(NewStop(t.last.id, AnyStart))
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
