package canary

import (
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// source adds up the counts that come from a part of the fleet. Only what a sender has
// counted since its last report is added, so that the sum does not shrink when a report
// is missing, and a change of the sender counts nothing twice. A sender that has restarted
// has counted all that it reports since then.
type source struct {
	sender  model.Instance
	process model.Incarnation
	last    Counts
	at      model.Instant
	sum     Counts
}

// senderExpiry is how long a sender may be silent before another one takes its place: two
// of its reports may be lost.
const senderExpiry = 2 * time.Second

func sourceOf[K comparable](sources map[K]*source, key K) *source {
	s, ok := sources[key]
	if !ok {
		s = &source{}
		sources[key] = s
	}
	return s
}

func (s *source) take(now model.Instant, from fleet.Member, counts Counts) {
	sender := from.Name()
	switch {
	case s.sender == sender && from.Incarnation() > s.process && !counts.continues(s.last):
		s.sum = s.sum.plus(counts)
	case s.sender == sender:
		s.sum = s.sum.plus(counts.since(s.last))
	case s.sender != "" && now.Sub(s.at) < senderExpiry:
		return
	}
	s.sender, s.process, s.last, s.at = sender, from.Incarnation(), counts, now
}
