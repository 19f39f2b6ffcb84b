// Package life follows the life of the target beside a daemon, from what the
// target says of itself and from how connections to it end. It decides whether
// the target gets work, and at what pace.
package life

import (
	"time"

	"anvilstand/core/model"
)

// State is what a target says of itself.
//
//sumtype:decl
type State interface{ isState() }

// Members of State.
type (
	// Ready takes work.
	Ready struct{}
	// Draining wants no new work and will end.
	Draining struct{}
	// Gone has said that it leaves the fleet. It finishes what runs.
	Gone struct{}
)

func (Ready) isState()    {}
func (Draining) isState() {}
func (Gone) isState()     {}

// StateName returns the name that logs give a state.
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

// Word is what a target said of itself at one time.
type Word struct {
	id       string
	service  model.Service
	born     int64
	sequence uint64
	state    State
	slots    int
	cold     time.Duration
}

// NewWord returns the word of a target with an id, which serves a service and
// was started at born, in milliseconds of its own time of day. Later words of
// one start have higher sequence numbers.
func NewWord(id string, s model.Service, born int64, sequence uint64, state State) Word {
	return Word{id: id, service: s, born: born, sequence: sequence, state: state}
}

// WithSlots returns the word with how many requests the target runs at a time.
func (w Word) WithSlots(n int) Word {
	w.slots = n
	return w
}

// WithCold returns the word with how much longer the target stays cold.
func (w Word) WithCold(d time.Duration) Word {
	w.cold = d
	return w
}

// ID returns the target's id.
func (w Word) ID() string { return w.id }

// State returns what the target says of itself.
func (w Word) State() State { return w.state }

// Sequence returns the number of the word within one start of the target.
func (w Word) Sequence() uint64 { return w.sequence }

// Cold returns how much longer the target stays cold.
func (w Word) Cold() time.Duration { return w.cold }

// Target is the state of the target beside a daemon. The zero value is of a
// target that says nothing of itself, and is taken for ready. It is not safe
// for concurrent use.
type Target struct {
	service  model.Service
	followed bool
	known    bool
	word     Word
	cold     model.Instant // until
	doubted  bool
	down     bool
	silent   model.Instant // since when connections fail
	left     map[string]int64
}

// Bounds of a target's life.
const (
	// maxLeft is how many targets that have left are remembered.
	maxLeft = 64
	// retryDown is how long after a failed connection another is tried, unless
	// the target speaks before.
	retryDown = 500 * time.Millisecond
	// NextTime is the wait that a refusal tells while the target takes no work.
	// Another target may take the request meanwhile.
	NextTime = 200 * time.Millisecond
)
