//go:build !linux

package wire

import "math"

// MaxOpenConns returns how many accepted connections a process may have: any number,
// since the limit is read on Linux only.
func MaxOpenConns() int { return math.MaxInt32 }
