package conf

import "time"

// Limits bound what callers may send and how long they may take. A zero limit is not
// configured.
type Limits struct {
	headBytes   int
	bodyBytes   int64
	headTimeout time.Duration
	idleTimeout time.Duration
}

// NewLimits returns limits of the head and the body of a request in bytes, of the time
// for a head, and of the time that a connection may be idle.
func NewLimits(headBytes int, bodyBytes int64, headTimeout, idleTimeout time.Duration) Limits {
	return Limits{headBytes: headBytes, bodyBytes: bodyBytes, headTimeout: headTimeout, idleTimeout: idleTimeout}
}

// HeadBytes returns the size of the largest head of a request, in bytes.
func (l Limits) HeadBytes() int { return l.headBytes }

// BodyBytes returns the size of the largest body of a request, in bytes.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeadTimeout returns how long a caller may take to send a head.
func (l Limits) HeadTimeout() time.Duration { return l.headTimeout }

// IdleTimeout returns how long a caller's connection may be idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Limits returns the limits for callers.
func (c *Config) Limits() Limits { return c.limits }

// SetLimits sets the limits for callers.
func (d *Draft) SetLimits(l Limits) { d.next.limits = l }
