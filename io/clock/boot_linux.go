package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns how long the instance has been suspended since it booted. It
// returns zero if a clock cannot be read.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	// Rounding removes the time between the two readings.
	d := time.Duration(boot.Nano() - monotonic.Nano())
	return d.Round(time.Millisecond)
}
