package crash

import (
	"slices"

	"anvilstand/core/model"
)

// State returns whether a request is a suspect, poison, or neither. A nil Tracker
// has only clear requests.
func (t *Tracker) State(now model.Instant, p model.Fingerprint) State {
	if t == nil {
		return Clear{}
	}
	if until, ok := t.poison[p]; ok && now.Before(until) {
		return Poison{}
	}
	if s, ok := t.suspects[p]; ok && s.restricted && now.Before(s.expires) {
		return Suspect{}
	}
	return Clear{}
}

// IsSuspected reports whether a request was in flight at a crash, also if it runs like any
// other.
func (t *Tracker) IsSuspected(p model.Fingerprint) bool {
	_, ok := t.suspects[p]
	return ok
}

// isOf reports whether the last crash of a suspicion is that of a report.
func (s suspicion) isOf(r Report) bool {
	return s.crashes > 0 && s.target == r.target && s.number == r.number
}

// isSameCrash reports whether two suspicions have the same last crash.
func (s suspicion) isSameCrash(o suspicion) bool { return s.target == o.target && s.number == o.number }

// suspects returns the number of suspects in flight.
func (f *InFlight) suspects() int {
	n := 0
	for _, e := range f.running {
		if e.suspect {
			n++
		}
	}
	return n
}

// fingerprints returns the fingerprints of the requests in flight, sorted and
// without duplicates.
func (f *InFlight) fingerprints() []model.Fingerprint {
	var all []model.Fingerprint
	for _, e := range f.running {
		all = append(all, e.fingerprint)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
