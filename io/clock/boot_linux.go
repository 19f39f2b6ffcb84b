package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns how long the instance was suspended since it started. A
// clock that cannot be read counts none.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	// What passes between the two readings is no suspension.
	d := time.Duration(boot.Nano() - steady.Nano())
	return d.Round(time.Millisecond)
}
