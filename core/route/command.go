package route

import "anvilstand/core/model"

// StartAttempt records that an attempt is sent to a target.
func (b *Balancer) StartAttempt(name model.Instance) { b.target(name).inFlight++ }

// Finish records how an attempt ended. An unreachable target is ejected at once, an
// outlier after OutlierFailures failures; an answer ends the count.
func (b *Balancer) Finish(now model.Instant, name model.Instance, outcome Outcome) {
	s := b.target(name)
	s.inFlight = max(0, s.inFlight-1)
	s.inFlightAtReport = min(s.inFlightAtReport, s.inFlight)
	switch outcome.(type) {
	case Answered:
		s.failures, s.ejection, s.unreachable = 0, 0, false
	case Broken:
		s.recordFailure(now)
	case Unreached:
		s.unreachable = true
		s.ejection = MinEjection
		s.ejectedUntil = now.Add(MinEjection)
	case Canceled:
	}
}

// Update records the report that came with an answer. Its level counts only for the
// route of the request.
func (b *Balancer) Update(now model.Instant, name model.Instance, pattern Pattern, r Report) {
	s := b.target(name)
	s.load, s.limit, s.reportTime, s.inFlightAtReport = r.load, r.limit, now, s.inFlight
	if s.levels == nil {
		s.levels = map[Pattern]level{}
	}
	s.levels[pattern] = level{position: r.level, reported: now}
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
	s := b.targets[name]
	if s == nil {
		s = &target{}
		b.targets[name] = s
	}
	return s
}

// recordFailure counts an attempt without an answer. A target that was ejected and
// has not answered since is ejected again by a single failure, for twice the time.
func (s *target) recordFailure(now model.Instant) {
	s.failures++
	if now.Before(s.ejectedUntil) || (s.failures < OutlierFailures && s.ejection == 0) {
		return
	}
	s.ejection = min(MaxEjection, max(MinEjection, 2*s.ejection))
	s.ejectedUntil = now.Add(s.ejection)
	s.load, s.limit, s.reportTime = 0, 0, now
}
