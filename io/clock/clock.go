// Package clock gives the time to the decisions, which have none of their own.
package clock

import (
	"context"
	"time"

	"anvilstand/core/model"
)

// Clock reads a process's monotonic clock.
type Clock struct {
	origin time.Time
	awake  time.Duration // suspended before the origin
	boot   bool
}

// New returns a clock whose origin is now. It stands still while the instance
// is suspended.
func New() Clock { return Clock{origin: time.Now()} }

// NewBoot returns a clock whose origin is now, and which counts the time that
// the instance is suspended.
func NewBoot() Clock { return Clock{origin: time.Now(), awake: suspended(), boot: true} }

// Now returns the time since the origin.
func (c Clock) Now() model.Instant {
	d := time.Since(c.origin)
	if c.boot {
		d += suspended() - c.awake
	}
	return model.Instant(d)
}

// Sleep waits for d, or until ctx ends and then returns its error.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
