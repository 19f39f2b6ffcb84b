package fleet

import (
	"cmp"
	"slices"

	"anvilstand/core/model"
)

// MemberList is the list of one failure domain's members as stored at a version,
// which the store assigns. The zero MemberList is empty, of no domain and at version
// zero.
type MemberList struct {
	domain  model.Domain
	version uint64
	members []Member
}

// NewMemberList returns a member list with a sorted copy of members.
func NewMemberList(d model.Domain, version uint64, members []Member) MemberList {
	members = slices.Clone(members)
	slices.SortFunc(members, compareMembers)
	return MemberList{domain: d, version: version, members: members}
}

// Domain returns the failure domain.
func (r MemberList) Domain() model.Domain { return r.domain }

// Version returns the version in the store.
func (r MemberList) Version() uint64 { return r.version }

// Members returns the members, sorted by name and incarnation.
func (r MemberList) Members() []Member { return r.members }

// compareMembers orders members by name, then by incarnation, since two
// processes may claim one name.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
}

// Find returns the entry of the process that announced m.
func (r MemberList) Find(m Member) (Member, bool) {
	i, ok := slices.BinarySearchFunc(r.members, m, compareMembers)
	if !ok {
		return Member{}, false
	}
	return r.members[i], true
}

// HasDuplicate reports whether another process claims the name of m.
func (r MemberList) HasDuplicate(m Member) bool {
	return slices.ContainsFunc(r.members, func(o Member) bool { return o.name == m.name && o.incarnation != m.incarnation })
}

// Delta is the difference between two versions of a member list.
type Delta struct {
	domain model.Domain
	from   uint64
	to     uint64
	joined []Member
	left   []Member
}

// NewDelta returns the difference between two versions of a member list. If from
// is zero, joined has to be the whole list.
func NewDelta(d model.Domain, from, to uint64, joined, left []Member) Delta {
	return Delta{domain: d, from: from, to: to, joined: joined, left: left}
}

// Domain returns the failure domain.
func (s Delta) Domain() model.Domain { return s.domain }

// From returns the version that it applies to, zero for the empty list.
func (s Delta) From() uint64 { return s.from }

// To returns the version that it leads to.
func (s Delta) To() uint64 { return s.to }

// Joined returns the members added or changed.
func (s Delta) Joined() []Member { return s.joined }

// Left returns the members removed.
func (s Delta) Left() []Member { return s.left }

// FullDelta returns the difference between the empty list and r.
func (r MemberList) FullDelta() Delta {
	return Delta{domain: r.domain, to: r.version, joined: r.members}
}

// DeltaFrom returns the difference between an earlier list and r.
func (r MemberList) DeltaFrom(old MemberList) Delta {
	s := Delta{domain: r.domain, from: old.version, to: r.version}
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

// Apply returns the list with s applied. It returns r and false if s is not
// newer than r or starts from another version.
func (r MemberList) Apply(s Delta) (MemberList, bool) {
	if s.to <= r.version || (s.from != 0 && s.from != r.version) {
		return r, false
	}
	if s.from == 0 {
		return NewMemberList(s.domain, s.to, s.joined), true
	}
	list := slices.DeleteFunc(slices.Clone(r.members), func(m Member) bool {
		same := func(o Member) bool { return compareMembers(o, m) == 0 }
		return slices.ContainsFunc(s.left, same) || slices.ContainsFunc(s.joined, same)
	})
	return NewMemberList(s.domain, s.to, append(list, s.joined...)), true
}
