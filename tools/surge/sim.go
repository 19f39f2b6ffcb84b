package main

import (
	"container/heap"
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

// events is the heap of pending events, for container/heap.
type events []event

// Len returns the number of pending events.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by the order in which they were scheduled.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// Swap swaps two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event at the end of the slice.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event of the slice.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules f to run d from now. A negative delay counts as zero.
func (s *sim) after(d time.Duration, f func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at: s.now.Add(max(0, d)), seq: s.lastSeq, run: f})
}

// runUntil runs the events due up to and including an instant, and sets the clock
// to it.
func (s *sim) runUntil(end model.Instant) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}
