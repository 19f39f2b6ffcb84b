package main

import (
	"time"

	"anvilstand/core/model"
)

// sim is a discrete-event simulator: a virtual clock and a queue of pending
// events. Events due at the same time run in the order in which they were
// scheduled, so a seed always gives the same run.
type sim struct {
	now     model.Instant
	events  events
	lastSeq uint64
}

// event is a function to run at a time. Seq orders events due at the same time.
type event struct {
	at  model.Instant
	seq uint64
	run func()
}

// events is a binary heap of pending events, the first due at the root. It is written out
// for its element, since container/heap boxes each event and took a quarter of a run.
type events []event

// before reports whether an event is due before another one.
func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// push adds an event.
func (e *events) push(added event) {
	h := append(*e, added)
	i := len(h) - 1
	for i > 0 && added.before(h[(i-1)/2]) {
		h[i] = h[(i-1)/2]
		i = (i - 1) / 2
	}
	h[i] = added
	*e = h
}

// pop removes the event that is due first.
func (e *events) pop() event {
	h := *e
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{}
	h = h[:len(h)-1]
	*e = h
	if len(h) == 0 {
		return first
	}
	i := 0
	for {
		child := 2*i + 1
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if child >= len(h) || !h[child].before(last) {
			break
		}
		h[i] = h[child]
		i = child
	}
	h[i] = last
	return first
}

// after schedules f to run d from now. A negative delay counts as zero.
func (s *sim) after(d time.Duration, f func()) {
	s.lastSeq++
	s.events.push(event{at: s.now.Add(max(0, d)), seq: s.lastSeq, run: f})
}

// runUntil runs the events due up to and including an instant, and sets the clock
// to it.
func (s *sim) runUntil(end model.Instant) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := s.events.pop()
		s.now = e.at
		e.run()
	}
	s.now = end
}
