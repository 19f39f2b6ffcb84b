package crash

import (
	"maps"
	"slices"

	"anvilstand/core/model"
)

// AddReport records a report of a crash. Its requests become suspects. Of those that were
// suspects before, the one that was in flight at more crashes than the others becomes
// poison; after a crash with many requests in flight, it must have been at three. If there
// is none such, they run one at a time, and all others like any request. A crash reported
// twice counts once.
func (t *Tracker) AddReport(now model.Instant, report Report) {
	t.expire(now)
	reported := report.fingerprints[:min(len(report.fingerprints), MaxReported)]
	if slices.ContainsFunc(reported, func(p model.Fingerprint) bool { return t.suspects[p].isOf(report) }) {
		return
	}
	repeated := t.suspectsAmong(reported)
	few := len(reported) <= MaxSuspects
	if p, ok := t.mostSuspect(repeated, few); ok {
		t.addPoison(now, p)
		t.unrestrict(t.suspects[p])
		delete(t.suspects, p)
	} else {
		for _, p := range repeated {
			t.unrestrict(t.suspects[p])
		}
	}
	t.makeRoom(len(reported))
	for _, p := range reported {
		t.suspect(now, p, report, slices.Contains(repeated, p) || (few && len(repeated) == 0))
	}
}

// suspectsAmong returns those of requests that are suspects, each once.
func (t *Tracker) suspectsAmong(reported []model.Fingerprint) []model.Fingerprint {
	var repeated []model.Fingerprint
	for _, p := range reported {
		if t.IsSuspected(p) && !slices.Contains(repeated, p) {
			repeated = append(repeated, p)
		}
	}
	return repeated
}

// mostSuspect returns the one of repeated suspects that was in flight at more crashes than
// the others, if that is enough to refuse it.
func (t *Tracker) mostSuspect(repeated []model.Fingerprint, few bool) (model.Fingerprint, bool) {
	var most model.Fingerprint
	crashes, isOnly := 0, false
	for _, p := range repeated {
		switch n := t.suspects[p].crashes; {
		case n > crashes:
			most, crashes, isOnly = p, n, true
		case n == crashes:
			isOnly = false
		}
	}
	return most, isOnly && (few || crashes+1 >= minCrashes)
}

// MarkServed clears a suspect to which a target has begun to respond.
func (t *Tracker) MarkServed(p model.Fingerprint) { delete(t.suspects, p) }

// suspect makes a request a suspect of one more crash, unless it is poison.
func (t *Tracker) suspect(now model.Instant, p model.Fingerprint, report Report, restricted bool) {
	if _, isPoison := t.poison[p]; isPoison {
		return
	}
	if t.suspects == nil {
		t.suspects = map[model.Fingerprint]suspicion{}
	}
	t.suspects[p] = suspicion{
		target: report.target, number: report.number, expires: now.Add(SuspectTime),
		crashes: t.suspects[p].crashes + 1, restricted: restricted,
	}
}

// makeRoom drops the suspects of the crashes that were reported first until there is room
// for n more.
func (t *Tracker) makeRoom(n int) {
	for len(t.suspects) > 0 && len(t.suspects)+n > maxSuspects {
		var oldest suspicion
		for _, s := range t.suspects {
			if oldest.expires == 0 || s.expires < oldest.expires {
				oldest = s
			}
		}
		maps.DeleteFunc(t.suspects, func(_ model.Fingerprint, s suspicion) bool { return s.isSameCrash(oldest) })
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

// unrestrict lets the suspects of a crash run like any request that were in flight at no
// other.
func (t *Tracker) unrestrict(crash suspicion) {
	for p, s := range t.suspects {
		if s.restricted && s.crashes == 1 && s.isSameCrash(crash) {
			s.restricted = false
			t.suspects[p] = s
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

// MarkServed records that the target has begun to respond to a request.
func (f *InFlight) MarkServed(p model.Fingerprint) { f.served.add(p) }

// ConnBroken records that the connection of a request broke, and returns the report
// of a crash. It returns false if the request was in flight at the last crash: that
// crash broke this connection too. Requests that the target has answered before are left
// out, and reported at the next crash unless it answers them again by then: a request that
// crashes targets since a change of theirs is found too.
func (f *InFlight) ConnBroken(now model.Instant, target model.Instance, id uint64) (Report, bool) {
	if f.crashed[id] {
		return Report{}, false
	}
	f.crashed = map[uint64]bool{}
	for other := range f.running {
		f.crashed[other] = true
	}
	return NewReport(target, uint64(now), f.takeUnserved()), true
}

// takeUnserved returns the fingerprints of the requests in flight that the target has not
// answered lately, and forgets that it has answered the others.
func (f *InFlight) takeUnserved() []model.Fingerprint {
	all := f.fingerprints()
	return slices.DeleteFunc(all, func(p model.Fingerprint) bool { return f.served.remove(p) })
}
