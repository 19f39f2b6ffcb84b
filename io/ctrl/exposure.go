package ctrl

import (
	"sync"

	"anvilstand/core/canary"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/clock"
)

// SharedExposure is a canary.Exposure and a canary.Gate that are safe for concurrent
// use: traffic goroutines choose versions and count answers, the control goroutine reads
// the counts and closes the gate. Its lock is held for short computations only.
type SharedExposure struct {
	clock    clock.Clock
	mu       sync.Mutex
	exposure canary.Exposure
	gate     canary.Gate
}

// Choose reports whether a request goes to the new version, and counts it as sent there.
func (s *SharedExposure) Choose(p canary.Plan) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exposure.Choose(s.clock.Now(), p)
}

// WarmMembers returns the members of the new version that may get a share.
func (s *SharedExposure) WarmMembers(p canary.Plan, members []fleet.Member) []fleet.Member {
	now := s.clock.Now()
	var warm []fleet.Member
	for _, m := range members {
		if p.IsNew(m.Version()) && p.IsWarm(now, m.Name()) {
			warm = append(warm, m)
		}
	}
	return warm
}

// Cancel takes back a choice for the new version that was not sent.
func (s *SharedExposure) Cancel(p canary.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exposure.Cancel(p)
}

// Observe counts an answer.
func (s *SharedExposure) Observe(p canary.Plan, a canary.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exposure.Observe(s.clock.Now(), p, a)
}

// Enter admits a request to the target beside this daemon, which is of version own. The
// request is meant for a version, empty if its sender knows of no order. Each admitted
// request has to Leave.
func (s *SharedExposure) Enter(p canary.Plan, own, meant string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Enter(p, own, meant)
}

// Leave records that an admitted request has ended.
func (s *SharedExposure) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Leave()
}

// InFlight returns the number of requests that the gate counts at the target.
func (s *SharedExposure) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.InFlight()
}

func (s *SharedExposure) counts(o canary.Order) canary.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exposure.Counts(o)
}

// follow closes or opens the gate, and reports whether it is closed without a request at
// the target.
func (s *SharedExposure) follow(p canary.Plan, own string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Follow(p, own)
}

func (s *SharedExposure) retain(orders map[model.Service]canary.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exposure.Retain(orders)
}
