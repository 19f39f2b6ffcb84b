package fleet

import (
	"cmp"
	"slices"

	"anvilstand/core/model"
)

// Roll is the record of one failure domain's members at a version. The store
// gives the versions; the zero Roll is of no domain, version zero and empty.
type Roll struct {
	domain  model.Domain
	version uint64
	members []Member
}

// NewRoll returns a roll. Its members are put in order of their names.
func NewRoll(d model.Domain, version uint64, members []Member) Roll {
	members = slices.Clone(members)
	slices.SortFunc(members, byName)
	return Roll{domain: d, version: version, members: members}
}

// Domain returns the failure domain.
func (r Roll) Domain() model.Domain { return r.domain }

// Version returns the version of the record.
func (r Roll) Version() uint64 { return r.version }

// Members returns the members in order of their names.
func (r Roll) Members() []Member { return r.members }

// byName orders members. Two processes may claim one name.
func byName(a, b Member) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.born, b.born))
}

// Find returns what is recorded of the process that announced a member.
func (r Roll) Find(m Member) (Member, bool) {
	i, ok := slices.BinarySearchFunc(r.members, m, byName)
	if !ok {
		return Member{}, false
	}
	return r.members[i], true
}

// Doubled reports whether another process claims the member's name as well.
func (r Roll) Doubled(m Member) bool {
	return slices.ContainsFunc(r.members, func(o Member) bool { return o.name == m.name && o.born != m.born })
}

// Step is what leads from one version of a roll to a later one.
type Step struct {
	domain model.Domain
	from   uint64
	to     uint64
	joined []Member
	left   []Member
}

// NewStep returns a step. From version zero, joined is the whole roll.
func NewStep(d model.Domain, from, to uint64, joined, left []Member) Step {
	return Step{domain: d, from: from, to: to, joined: joined, left: left}
}

// Domain returns the failure domain.
func (s Step) Domain() model.Domain { return s.domain }

// From returns the version that the step starts from, zero for the empty roll.
func (s Step) From() uint64 { return s.from }

// To returns the version that the step leads to.
func (s Step) To() uint64 { return s.to }

// Joined returns the members added or changed.
func (s Step) Joined() []Member { return s.joined }

// Left returns the members removed.
func (s Step) Left() []Member { return s.left }

// Whole returns the step from the empty roll to r.
func (r Roll) Whole() Step {
	return Step{domain: r.domain, to: r.version, joined: r.members}
}

// StepFrom returns the step from an earlier roll to r.
func (r Roll) StepFrom(old Roll) Step {
	s := Step{domain: r.domain, from: old.version, to: r.version}
	for _, m := range r.members {
		if was, ok := old.Find(m); !ok || was != m {
			s.joined = append(s.joined, m)
		}
	}
	for _, m := range old.members {
		if _, ok := r.Find(m); !ok {
			s.left = append(s.left, m)
		}
	}
	return s
}

// Take returns the roll after a step, and whether the step fits and is new.
func (r Roll) Take(s Step) (Roll, bool) {
	if s.to <= r.version || (s.from != 0 && s.from != r.version) {
		return r, false
	}
	if s.from == 0 {
		return NewRoll(s.domain, s.to, s.joined), true
	}
	list := slices.DeleteFunc(slices.Clone(r.members), func(m Member) bool {
		same := func(o Member) bool { return byName(o, m) == 0 }
		return slices.ContainsFunc(s.left, same) || slices.ContainsFunc(s.joined, same)
	})
	return NewRoll(s.domain, s.to, append(list, s.joined...)), true
}
