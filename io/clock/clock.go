// Package clock gives the time to the decisions, which have none of their own.
package clock

import (
	"context"
	"time"

	"anvilstand/core/model"
)

// Clock reads a process's monotonic clock.
type Clock struct{ origin time.Time }

// New returns a clock whose origin is now.
func New() Clock { return Clock{origin: time.Now()} }

// Now returns the time since the origin.
func (c Clock) Now() model.Instant { return model.Instant(time.Since(c.origin)) }

// Rest waits for d, or until ctx ends and then returns its error.
func Rest(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
