package crash

import (
	"maps"
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
	if s, ok := t.suspects[p]; ok && now.Before(s.expires) {
		return Suspect{}
	}
	return Clear{}
}

// Clone returns a copy that shares no state with t.
func (t *Tracker) Clone() *Tracker {
	return &Tracker{suspects: maps.Clone(t.suspects), poison: maps.Clone(t.poison)}
}

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
