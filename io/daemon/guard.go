package daemon

import (
	"cmp"
	"time"

	"anvilstand/io/guard"
)

// Limits of heads and connections where the configuration has none, and at the
// listeners that callers are not meant to use.
const (
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 2 * time.Minute
	// maxHeadLines is the largest number of header lines. Usual requests have some
	// tens; 16,384 bytes of usual lines have 500.
	maxHeadLines = 1000
	// requestLineBytes is added to the limit on header bytes for the request line.
	requestLineBytes = 1 << 10
	// relayedBytes and relayedLines are what daemons add to the head of a request that
	// they relay.
	relayedBytes = 16 << 10
	relayedLines = 64
	// idleMargin is added to the idle timeout, so that a caller that uses all of it does
	// not meet a closed connection.
	idleMargin = time.Second
	// headShare is the part of the memory that heads of requests may take: one in so
	// many.
	headShare = 8
)

// headBudget returns how much of a process's memory heads may take, in bytes.
func headBudget(memory int64) int { return int(memory / headShare) }

// limitsOf returns a function that returns the limits for requests on the connections of a listener.
func (d *Daemon) limitsOf(name string) func() guard.Limits {
	switch name {
	case "front":
		return d.frontLimits
	case "peer":
		return d.peerLimits
	}
	return func() guard.Limits {
		return guard.NewLimits(defaultHeadBytes, maxHeadLines, defaultHeadTimeout, defaultIdleTimeout, defaultHeadTimeout)
	}
}

// frontLimits returns the limits for callers as the configuration in force has them.
func (d *Daemon) frontLimits() guard.Limits {
	l := d.loop.View().Config().Limits()
	idle := defaultIdleTimeout
	if l.IdleTimeout() > 0 {
		idle = l.IdleTimeout() + idleMargin
	}
	return guard.NewLimits(min(guard.MaxHeadBytes, cmp.Or(l.HeadBytes(), defaultHeadBytes)+requestLineBytes),
		maxHeadLines, cmp.Or(l.HeadTimeout(), defaultHeadTimeout), idle, d.settings.StallTimeout())
}

// peerLimits returns the limits for other daemons, which send on what their callers
// sent. Their configuration may be a newer one, so a small limit in this daemon's does
// not apply.
func (d *Daemon) peerLimits() guard.Limits {
	head := max(defaultHeadBytes, d.loop.View().Config().Limits().HeadBytes()) + relayedBytes
	return guard.NewLimits(min(guard.MaxHeadBytes, head), maxHeadLines+relayedLines, defaultHeadTimeout, defaultIdleTimeout, d.settings.StallTimeout())
}

// addGuardMetrics adds the gauges of the listeners.
func (d *Daemon) addGuardMetrics() {
	d.meter.GaugeFunc("head_bytes", "Memory for heads of requests above the size of usual ones.",
		func() float64 { return float64(d.guard.HeadCost()) })
	d.meter.GaugeFunc("connections_proven", "Connections that have sent a whole request.", func() float64 {
		withRequest, _ := d.guard.Conns()
		return float64(withRequest)
	})
	d.meter.GaugeFunc("connections_unproven", "Connections that have not sent a whole request.", func() float64 {
		_, withoutRequest := d.guard.Conns()
		return float64(withoutRequest)
	})
}
