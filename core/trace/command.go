package trace

import "anvilstand/core/model"

// Add notes a step of a request. It takes the place of the oldest one when the
// ring is full.
func (r *Ring) Add(now model.Instant, id model.Request, s Step) {
	e := entry{id: id, at: now, step: s}
	if len(r.entries) < Size {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % Size
}
