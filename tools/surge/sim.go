package main

import (
	"container/heap"
	"time"

	"anvilstand/core/model"
)

// sim is a virtual clock with the events that are due. Events at the same time
// run in the order in which they were added.
type sim struct {
	now    model.Instant
	events events
	count  uint64
}

type event struct {
	at  model.Instant
	seq uint64
	run func()
}

type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// Swap swaps two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// after runs f when d has passed.
func (s *sim) after(d time.Duration, f func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now.Add(max(0, d)), seq: s.count, run: f})
}

// run runs the events up to an instant.
func (s *sim) run(until model.Instant) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}
