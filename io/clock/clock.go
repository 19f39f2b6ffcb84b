// Package clock gives the time to the decisions, which have none of their own.
package clock

import (
	"time"

	"anvilstand/core/model"
)

// Clock reads a process's monotonic clock.
type Clock struct{ origin time.Time }

// New returns a clock whose origin is now.
func New() Clock { return Clock{origin: time.Now()} }

// Now returns the time since the origin.
func (c Clock) Now() model.Instant { return model.Instant(time.Since(c.origin)) }
