package crash

import "anvilstand/core/model"

// maxServed is the number of requests after which a servedSet begins another generation.
const maxServed = 2048

// servedSet is a set of the requests that a target has answered last, between maxServed and
// twice as many. The zero value is empty.
type servedSet struct {
	newer, older map[model.Fingerprint]struct{}
}

func (s *servedSet) add(p model.Fingerprint) {
	if _, ok := s.newer[p]; ok {
		return
	}
	if s.newer == nil || len(s.newer) >= maxServed {
		s.newer, s.older = map[model.Fingerprint]struct{}{}, s.newer
	}
	s.newer[p] = struct{}{}
}

// remove removes a request, and reports whether it was in the set.
func (s *servedSet) remove(p model.Fingerprint) bool {
	_, inNewer := s.newer[p]
	_, inOlder := s.older[p]
	delete(s.newer, p)
	delete(s.older, p)
	return inNewer || inOlder
}
