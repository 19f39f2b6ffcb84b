package crash

import (
	"maps"
	"slices"

	"anvilstand/core/model"
)

// Verdict returns what is held of a request.
func (b *Book) Verdict(now model.Instant, p model.Print) Verdict {
	if b == nil {
		return Clear{}
	}
	if until, ok := b.convicts[p]; ok && now.Before(until) {
		return Convict{}
	}
	if s, ok := b.suspects[p]; ok && now.Before(s.until) {
		return Suspect{}
	}
	return Clear{}
}

// Clone returns a copy.
func (b *Book) Clone() *Book {
	return &Book{suspects: maps.Clone(b.suspects), convicts: maps.Clone(b.convicts)}
}

func (w *Ward) suspects() int {
	n := 0
	for _, e := range w.running {
		if e.suspect {
			n++
		}
	}
	return n
}

// prints returns the fingerprints in flight, each once, in order.
func (w *Ward) prints() []model.Print {
	var all []model.Print
	for _, e := range w.running {
		all = append(all, e.mark)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
