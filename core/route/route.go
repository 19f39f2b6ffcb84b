// Package route chooses the target of a request.
package route

import (
	"math/rand/v2"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Candidate is a target that a request may go to, with its load seen from here.
type Candidate struct {
	member fleet.Member
	load   float64
}

// NewCandidate returns a candidate with the load seen from here.
func NewCandidate(m fleet.Member, load float64) Candidate {
	return Candidate{member: m, load: load}
}

// Choose returns the less loaded of two random candidates, from the own failure
// domain when it has any. The seed of rnd makes the choice repeatable.
func Choose(rnd *rand.Rand, own model.Domain, all []Candidate) (fleet.Member, bool) {
	if near := within(own, all); len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return fleet.Member{}, false
	}
	a := all[rnd.IntN(len(all))]
	b := all[rnd.IntN(len(all))]
	if b.load < a.load {
		a = b
	}
	return a.member, true
}

func within(own model.Domain, all []Candidate) []Candidate {
	var near []Candidate
	for _, c := range all {
		if c.member.Domain() == own {
			near = append(near, c)
		}
	}
	return near
}
