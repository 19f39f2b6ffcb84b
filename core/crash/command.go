package crash

import (
	"slices"

	"anvilstand/core/model"
)

// AddReport records a report of a crash. If none of the report's requests is a
// suspect already, all become suspects. If exactly one is, it becomes poison. If
// several are, only these become suspects of this crash. In the last two cases the
// other suspects of the earlier crash are cleared; if the repeated suspects come from
// several earlier crashes, those of the crash of the first one listed. A crash reported
// twice counts once, and one with more than MaxSuspects requests is ignored.
func (t *Tracker) AddReport(now model.Instant, report Report) {
	t.expire(now)
	if len(report.fingerprints) == 0 || len(report.fingerprints) > MaxSuspects {
		return
	}
	var repeated []model.Fingerprint
	for _, p := range report.fingerprints {
		s, ok := t.suspects[p]
		if ok && s.target == report.target && s.number == report.number {
			return
		}
		if ok && !slices.Contains(repeated, p) {
			repeated = append(repeated, p)
		}
	}
	if len(repeated) == 0 {
		t.addSuspects(now, report, report.fingerprints)
		return
	}
	t.clear(t.suspects[repeated[0]])
	if len(repeated) > 1 {
		t.addSuspects(now, report, repeated)
		return
	}
	t.addPoison(now, repeated[0])
}

// MarkServed clears a suspect to which a target has begun to respond.
func (t *Tracker) MarkServed(p model.Fingerprint) { delete(t.suspects, p) }

// addSuspects makes requests suspects of a crash. Those over maxEntries are left
// out.
func (t *Tracker) addSuspects(now model.Instant, report Report, fingerprints []model.Fingerprint) {
	if t.suspects == nil {
		t.suspects = map[model.Fingerprint]suspicion{}
	}
	for _, p := range fingerprints {
		if len(t.suspects) < maxEntries {
			t.suspects[p] = suspicion{target: report.target, number: report.number, expires: now.Add(SuspectTime)}
		}
	}
}

// addPoison marks a request as poison for PoisonTime, unless there are maxEntries
// already.
func (t *Tracker) addPoison(now model.Instant, p model.Fingerprint) {
	if t.poison == nil {
		t.poison = map[model.Fingerprint]model.Instant{}
	}
	if len(t.poison) < maxEntries {
		t.poison[p] = now.Add(PoisonTime)
	}
}

// clear clears the suspects of one crash.
func (t *Tracker) clear(s suspicion) {
	for p, other := range t.suspects {
		if other.target == s.target && other.number == s.number {
			delete(t.suspects, p)
		}
	}
}

// expire deletes suspects and poison requests whose time is over.
func (t *Tracker) expire(now model.Instant) {
	for p, s := range t.suspects {
		if !now.Before(s.expires) {
			delete(t.suspects, p)
		}
	}
	for p, until := range t.poison {
		if !now.Before(until) {
			delete(t.poison, p)
		}
	}
}

// Start records a request as in flight, unless it must be refused: a poison request
// always, a suspect while another suspect runs (with reason QueueFull). The error is
// a *model.Refusal.
func (f *InFlight) Start(id uint64, p model.Fingerprint, state State) error {
	suspect := false
	switch state.(type) {
	case Clear:
	case Suspect:
		suspect = true
		if f.suspects() > 0 {
			return model.Refuse(model.QueueFull{}, SuspectRetryAfter)
		}
	case Poison:
		return model.Refuse(model.Poison{}, PoisonTime)
	}
	if f.running == nil {
		f.running = map[uint64]entry{}
	}
	f.running[id] = entry{fingerprint: p, suspect: suspect}
	return nil
}

// Finish removes a request that has ended.
func (f *InFlight) Finish(id uint64) { delete(f.running, id) }

// ConnBroken records that the connection of a request broke, and returns the report
// of a crash. It returns false if the request was in flight at the last crash: that
// crash broke this connection too.
func (f *InFlight) ConnBroken(now model.Instant, target model.Instance, id uint64) (Report, bool) {
	if f.crashed[id] {
		return Report{}, false
	}
	f.crashed = map[uint64]bool{}
	for other := range f.running {
		f.crashed[other] = true
	}
	return NewReport(target, uint64(now), f.fingerprints()), true
}
