package crash

import (
	"maps"
	"slices"

	"anvilstand/core/model"
)

// Verdict returns the suspicion against a request. A nil Book has none.
func (b *Book) Verdict(now model.Instant, p model.Print) Verdict {
	if b == nil {
		return Clear{}
	}
	if until, ok := b.poison[p]; ok && now.Before(until) {
		return Poison{}
	}
	if s, ok := b.suspects[p]; ok && now.Before(s.expires) {
		return Suspect{}
	}
	return Clear{}
}

// Clone returns a copy that shares no state with b.
func (b *Book) Clone() *Book {
	return &Book{suspects: maps.Clone(b.suspects), poison: maps.Clone(b.poison)}
}

// suspects returns the number of suspects in flight.
func (w *Ward) suspects() int {
	n := 0
	for _, e := range w.running {
		if e.suspect {
			n++
		}
	}
	return n
}

// prints returns the fingerprints of the requests in flight, sorted and without
// duplicates.
func (w *Ward) prints() []model.Print {
	var all []model.Print
	for _, e := range w.running {
		all = append(all, e.print)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
