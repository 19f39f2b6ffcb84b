// Package clock is the monotonic clock of a process, with or without the time that
// the instance was suspended. The packages in core read no clock: each call is
// given the time.
package clock

import (
	"context"
	"time"

	"anvilstand/core/model"
)

// Clock is a monotonic clock of this process.
type Clock struct {
	origin time.Time
	before time.Duration // time suspended before the origin
	boot   bool          // Now includes the time suspended
}

// New returns a clock whose origin is now. It stops while the instance is
// suspended.
func New() Clock { return Clock{origin: time.Now()} }

// NewBoot returns a clock whose origin is now. It goes on while the instance is
// suspended, where the operating system allows it.
func NewBoot() Clock { return Clock{origin: time.Now(), before: suspended(), boot: true} }

// Now returns the time since the origin.
func (c Clock) Now() model.Instant {
	d := time.Since(c.origin)
	if c.boot {
		d += suspended() - c.before
	}
	return model.Instant(d)
}

// Sleep waits for d. When ctx ends earlier, it returns the error of ctx.
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
