package fleet

import (
	"cmp"
	"slices"

	"anvilstand/core/model"
)

// MemberList is the list of one failure domain's members as stored at a version,
// which the store assigns. The zero MemberList is empty, of no domain and at
// version zero.
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
func (l MemberList) Domain() model.Domain { return l.domain }

// Version returns the version in the store.
func (l MemberList) Version() uint64 { return l.version }

// Members returns the members, sorted by name and incarnation.
func (l MemberList) Members() []Member { return l.members }

// compareMembers orders members by name, then by incarnation, since two
// processes may claim one name.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
}

// Find returns the entry of the process that announced m.
func (l MemberList) Find(m Member) (Member, bool) {
	i, ok := slices.BinarySearchFunc(l.members, m, compareMembers)
	if !ok {
		return Member{}, false
	}
	return l.members[i], true
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
func (d Delta) Domain() model.Domain { return d.domain }

// From returns the version that it applies to, zero for the empty list.
func (d Delta) From() uint64 { return d.from }

// To returns the version that it leads to.
func (d Delta) To() uint64 { return d.to }

// Joined returns the members added or changed.
func (d Delta) Joined() []Member { return d.joined }

// Left returns the members removed.
func (d Delta) Left() []Member { return d.left }

// FullDelta returns the difference between the empty list and l.
func (l MemberList) FullDelta() Delta {
	return Delta{domain: l.domain, to: l.version, joined: l.members}
}

// DeltaFrom returns the difference between an earlier list and l.
func (l MemberList) DeltaFrom(old MemberList) Delta {
	d := Delta{domain: l.domain, from: old.version, to: l.version}
	for _, m := range l.members {
		if was, ok := old.Find(m); !ok || was != m {
			d.joined = append(d.joined, m)
		}
	}
	for _, m := range old.members {
		if _, ok := l.Find(m); !ok {
			d.left = append(d.left, m)
		}
	}
	return d
}

// Apply returns the list with d applied. It returns l and false if d is not newer
// than l or starts from another version.
func (l MemberList) Apply(d Delta) (MemberList, bool) {
	if d.to <= l.version || (d.from != 0 && d.from != l.version) {
		return l, false
	}
	if d.from == 0 {
		return NewMemberList(d.domain, d.to, d.joined), true
	}
	list := slices.DeleteFunc(slices.Clone(l.members), func(m Member) bool {
		same := func(o Member) bool { return compareMembers(o, m) == 0 }
		return slices.ContainsFunc(d.left, same) || slices.ContainsFunc(d.joined, same)
	})
	return NewMemberList(d.domain, d.to, append(list, d.joined...)), true
}
