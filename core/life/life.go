// Package life tracks the state of the target beside a daemon, from the
// target's heartbeats and from the outcome of connections to it. It decides
// whether the target gets work, and whether it has to be treated as cold.
package life

import (
	"time"

	"anvilstand/core/model"
)

// State is the state that a target reports in a heartbeat.
//
//sumtype:decl
type State interface{ isState() }

// Members of State.
type (
	// Ready takes work.
	Ready struct{}
	// Draining takes no new work and will end.
	Draining struct{}
	// Gone has deregistered. It finishes the requests that it runs.
	Gone struct{}
)

func (Ready) isState()    {}
func (Draining) isState() {}
func (Gone) isState()     {}

// StateName returns the name of a state in logs.
func StateName(s State) string {
	switch s.(type) {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Word is one heartbeat of a target.
type Word struct {
	id         string
	service    model.Service
	started    int64 // ms by the target's clock
	sequence   uint64
	state      State
	slots      int
	warmupLeft time.Duration
}

// NewWord returns a heartbeat of the target with an id, which serves service s
// and was started at the given time, in milliseconds by the target's own clock.
// The sequence number grows with each heartbeat of one start.
func NewWord(id string, s model.Service, started int64, sequence uint64, state State) Word {
	return Word{id: id, service: s, started: started, sequence: sequence, state: state}
}

// WithSlots returns the heartbeat with the number of requests that the target
// runs at a time.
func (h Word) WithSlots(n int) Word {
	h.slots = n
	return h
}

// WithCold returns the heartbeat with the remaining warm-up time.
func (h Word) WithCold(d time.Duration) Word {
	h.warmupLeft = d
	return h
}

// ID returns the target's id.
func (h Word) ID() string { return h.id }

// State returns the reported state.
func (h Word) State() State { return h.state }

// Sequence returns the number of the heartbeat within one start of the target.
func (h Word) Sequence() uint64 { return h.sequence }

// Cold returns the warm-up time that remained when the heartbeat was sent.
func (h Word) Cold() time.Duration { return h.warmupLeft }

// Target is the state of the target beside a daemon. The zero value is a target
// that sends no heartbeats, which is taken to be ready. It is not safe for
// concurrent use.
type Target struct {
	service            model.Service
	heartbeatsRequired bool
	known              bool
	last               Word
	coldUntil          model.Instant
	assumedCold        bool
	unreachable        bool
	failedAt           model.Instant    // last failed connection
	deregistered       map[string]int64 // start by id
}

// Limits and waits.
const (
	// maxDeregistered bounds the set of targets known to have deregistered.
	maxDeregistered = 64
	// reconnectDelay is the wait after a failed connection before another is
	// tried. A heartbeat ends it early.
	reconnectDelay = 500 * time.Millisecond
	// RetryAfter is the wait that a refusal gives while the target takes no
	// work. It is short because another target may take the request meanwhile.
	RetryAfter = 200 * time.Millisecond
)
