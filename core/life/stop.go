package life

import (
	"cmp"
	"math"
	"slices"
	"time"

	"anvilstand/core/model"
)

// Stop says that a start of a target has ended its work: the target drains or has
// deregistered. That start gets no work again.
type Stop struct {
	id             string
	processStarted int64
}

// AnyStart is the start time of a Stop that names no start: the one that runs when the
// stop is reported.
const AnyStart = math.MaxInt64

// NewStop returns the stop of the target with an id whose process started at the given
// time, in milliseconds by the target's own clock, or AnyStart.
func NewStop(id string, started int64) Stop { return Stop{id: id, processStarted: started} }

// ID returns the target's id.
func (s Stop) ID() string { return s.id }

// ProcessStarted returns the start time of the target's process, in milliseconds by its
// own clock, or AnyStart.
func (s Stop) ProcessStarted() int64 { return s.processStarted }

// RecordedStop is the stop of the target beside an instance, as it is stored so that a
// restart of the daemon does not forget it.
type RecordedStop struct {
	instance model.Instance
	stop     Stop
	at       time.Time
}

// NewRecordedStop returns the record of a stop, made at a time.
func NewRecordedStop(name model.Instance, s Stop, at time.Time) RecordedStop {
	return RecordedStop{instance: name, stop: s, at: at}
}

// Instance returns the name of the instance.
func (r RecordedStop) Instance() model.Instance { return r.instance }

// Stop returns the stop.
func (r RecordedStop) Stop() Stop { return r.stop }

// At returns when the record was made.
func (r RecordedStop) At() time.Time { return r.at }

// Bounds of the records of a failure domain.
const (
	// maxRecordAge is how long a stop is recorded, much longer than a status takes
	// to arrive.
	maxRecordAge = 10 * time.Minute
	// maxRecords is the number of records kept, the newest ones.
	maxRecords = 2048
)

// AddRecord returns the records with a new one and without those that are too old.
func AddRecord(records []RecordedStop, r RecordedStop) []RecordedStop {
	kept := make([]RecordedStop, 0, len(records)+1)
	for _, old := range records {
		if r.at.Sub(old.at) < maxRecordAge {
			kept = append(kept, old)
		}
	}
	kept = append(kept, r)
	slices.SortStableFunc(kept, func(a, b RecordedStop) int { return cmp.Compare(a.at.Unix(), b.at.Unix()) })
	return kept[max(0, len(kept)-maxRecords):]
}

// StopsOf returns the recorded stops of the target beside an instance.
func StopsOf(records []RecordedStop, name model.Instance) []Stop {
	var stops []Stop
	for _, r := range records {
		if r.instance == name {
			stops = append(stops, r.stop)
		}
	}
	return stops
}

// StopHistory is what a daemon that starts knows of the earlier stops of its target. The
// zero value is a whole history without stops.
type StopHistory struct {
	stops   []Stop
	partial bool
}

// NewStopHistory returns a history that has every confirmed stop.
func NewStopHistory(stops []Stop) StopHistory { return StopHistory{stops: stops} }

// AsPartial returns the history as one in which confirmed stops may be missing.
func (h StopHistory) AsPartial() StopHistory {
	h.partial = true
	return h
}

// Stops returns the stops.
func (h StopHistory) Stops() []Stop { return h.stops }

// Partial reports whether confirmed stops may be missing.
func (h StopHistory) Partial() bool { return h.partial }
