package trace

import "anvilstand/core/model"

// Add appends a step of a request. If the ring is full, it replaces the oldest
// one.
func (r *Ring) Add(now model.Instant, id model.Request, s Step) {
	e := entry{id: id, at: now, step: s}
	if len(r.entries) < RingSize {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % RingSize
}
