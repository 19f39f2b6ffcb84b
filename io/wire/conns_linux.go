package wire

import (
	"math"

	"golang.org/x/sys/unix"
)

// MaxOpenConns returns how many accepted connections a process may have: three quarters
// of its descriptors. The others are for connections to targets, to other daemons and to
// the store.
func MaxOpenConns() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return max(1, int(limit.Cur)/4*3)
}
