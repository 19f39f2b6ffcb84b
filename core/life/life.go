// Package life tracks the life cycle of the target beside a daemon (ready, warming
// up, draining, deregistered), from the status that the target reports of itself
// and from the outcome of connections to it. It decides whether the target gets
// work, and whether it counts as cold. How much work it gets is decided in package
// admit.
//
// A start is one run of the target's process, identified by the target's id and
// the time at which the process started.
package life

import (
	"time"

	"anvilstand/core/model"
)

// State is whether a target takes work, as part of its status.
//
//sumtype:decl
type State interface{ isState() }

// Members of State.
type (
	// Ready means that the target takes work.
	Ready struct{}
	// Draining means that the target takes no new work and will end.
	Draining struct{}
	// Deregistered means that the target has deregistered. It takes no new work and
	// finishes what it runs.
	Deregistered struct{}
)

func (Ready) isState()        {}
func (Draining) isState()     {}
func (Deregistered) isState() {}

// StateName returns the name of a state in logs.
func StateName(s State) string {
	switch s.(type) {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Deregistered:
		return "gone"
	}
	return "unknown"
}

// Status is the status that a target reports of itself at one time.
type Status struct {
	id              string
	service         model.Service
	processStarted  int64 // ms by the target's clock
	sequence        uint64
	state           State
	slots           int
	remainingWarmup time.Duration
	version         string
}

// NewStatus returns the status of the target with an id, which serves service s
// and whose process started at the given time, in milliseconds by the target's own
// clock. The sequence number grows with each status of one start.
func NewStatus(id string, s model.Service, started int64, sequence uint64, state State) Status {
	return Status{id: id, service: s, processStarted: started, sequence: sequence, state: state}
}

// WithSlots returns the status with the number of requests that the target runs
// at a time.
func (s Status) WithSlots(n int) Status {
	s.slots = n
	return s
}

// WithRemainingWarmup returns the status with the remaining warm-up time.
func (s Status) WithRemainingWarmup(d time.Duration) Status {
	s.remainingWarmup = d
	return s
}

// WithVersion returns the status with the version of the target's program.
func (s Status) WithVersion(v string) Status {
	s.version = v
	return s
}

// Version returns the version of the target's program, empty if it reports none.
func (s Status) Version() string { return s.version }

// ID returns the target's id.
func (s Status) ID() string { return s.id }

// State returns the reported state.
func (s Status) State() State { return s.state }

// Sequence returns the number of the status within one start of the target.
func (s Status) Sequence() uint64 { return s.sequence }

// RemainingWarmup returns the warm-up time that remained when the status was sent.
func (s Status) RemainingWarmup() time.Duration { return s.remainingWarmup }

// Stop returns the stop that the status reports, and false while the target takes work.
func (s Status) Stop() (Stop, bool) { return NewStop(s.id, s.processStarted), isStopping(s.state) }

// Target is the state of the target beside a daemon. The zero value is a target
// that reports no status, which is taken to be ready. It is not safe for
// concurrent use.
type Target struct {
	service        model.Service
	statusRequired bool
	known          bool
	last           Status
	coldUntil      model.Instant
	assumedCold    bool
	mayHaveCrashed bool         // the known start, as a connection failed
	afterFailure   *firstStatus // the first of the known start since then
	unreachable    bool
	failedAt       model.Instant    // last failed connection
	stopped        map[string]int64 // start time of the process, by id
	other          firstStatus      // of another start than the known one
	first          firstStatus      // of the known start
	repeated       bool             // the known start has reported again
	stopsPending   bool             // see AwaitStops
}

// firstStatus is the first status of a start, and when it arrived.
type firstStatus struct {
	status Status
	seenAt model.Instant
}

// Limits and waits.
const (
	// maxStopped bounds the set of targets known to have stopped. A full set is
	// emptied.
	maxStopped = 64
	// reconnectDelay is the wait after a failed connection before another is
	// tried. A new status ends it early.
	reconnectDelay = 500 * time.Millisecond
	// runningDelay is how long after the first status of a start a further one
	// is taken as proof that it runs.
	runningDelay = time.Second
	// NotReadyRetryAfter is the wait that a refusal gives while the target takes
	// no work. It is short because another target may take the request meanwhile.
	NotReadyRetryAfter = 200 * time.Millisecond
)
