package route

import "anvilstand/core/model"

// StartAttempt records that an attempt is sent to a target.
func (b *Balancer) StartAttempt(name model.Instance) { b.target(name).inFlight++ }

// Finish records how an attempt ended. An unreachable target is ejected at once, an
// outlier after OutlierFailures failures; a response ends the count.
func (b *Balancer) Finish(now model.Instant, name model.Instance, outcome Outcome) {
	t := b.target(name)
	t.inFlight = max(0, t.inFlight-1)
	t.inFlightAtReport = min(t.inFlightAtReport, t.inFlight)
	switch outcome.(type) {
	case Answered:
		t.failures, t.ejection, t.unreachable = 0, 0, false
	case Broken:
		t.recordFailure(now)
	case Unreached:
		t.unreachable = true
		t.ejection = MinEjection
		t.ejectedUntil = now.Add(MinEjection)
	case Canceled:
	}
}

// Update records the report that came with a response. Its level counts only for the
// route of the request.
func (b *Balancer) Update(now model.Instant, name model.Instance, pattern Pattern, r Report) {
	t := b.target(name)
	t.load, t.limit, t.expected, t.reportTime, t.inFlightAtReport = r.load, r.limit, r.expected, now, t.inFlight
	if t.levels == nil {
		t.levels = map[Pattern]level{}
	}
	t.levels[pattern] = level{position: r.level, reported: now}
}

// Retain forgets the targets that are not named and have no attempt in flight.
func (b *Balancer) Retain(names map[model.Instance]bool) {
	for name := range b.targets {
		if !names[name] && b.targets[name].inFlight == 0 {
			delete(b.targets, name)
		}
	}
}

// target returns the state of a target, and creates it if needed.
func (b *Balancer) target(name model.Instance) *target {
	if b.targets == nil {
		b.targets = map[model.Instance]*target{}
	}
	t := b.targets[name]
	if t == nil {
		t = &target{}
		b.targets[name] = t
	}
	return t
}

// recordFailure counts an attempt without a response. A target that was ejected and
// has not responded since is ejected again by a single failure, for twice the time.
func (t *target) recordFailure(now model.Instant) {
	t.failures++
	if now.Before(t.ejectedUntil) || (t.failures < OutlierFailures && t.ejection == 0) {
		return
	}
	t.ejection = min(MaxEjection, max(MinEjection, 2*t.ejection))
	t.ejectedUntil = now.Add(t.ejection)
	t.load, t.limit, t.reportTime = 0, 0, now
}
