package once

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Pair returns the two daemons that a key is assigned to by rendezvous hashing. Requests
// with the key are sent to the primary, which runs them. The secondary is in another
// failure domain where there is one. It is the zero Member when the service has a
// single daemon, and so is the primary when it has none.
func Pair(members []fleet.Member, k Key) (primary, secondary fleet.Member) {
	primary = highestWeight(members, k, func(fleet.Member) bool { return true })
	secondary = highestWeight(members, k, func(m fleet.Member) bool { return m.Domain() != primary.Domain() })
	if secondary.Name() == "" {
		secondary = highestWeight(members, k, func(m fleet.Member) bool { return m.Name() != primary.Name() })
	}
	return primary, secondary
}

// highestWeight returns the eligible member with the highest rendezvous weight
// for a key, or the zero Member.
func highestWeight(members []fleet.Member, k Key, eligible func(fleet.Member) bool) fleet.Member {
	var best fleet.Member
	var highest uint64
	for _, m := range members {
		if !eligible(m) {
			continue
		}
		if n := weight(m, k); best.Name() == "" || n > highest {
			best, highest = m, n
		}
	}
	return best
}

// weight returns the rendezvous hash of a member and a key.
func weight(m fleet.Member, k Key) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(m.Name()))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(k))
	return d.Sum64()
}

// InPairForWindow reports whether this daemon was one of a key's pair in every
// membership of the last window. If so, and it has no record of the key, the key has
// not run within the window.
func (reg *Registry) InPairForWindow(now model.Instant, k Key) bool {
	if len(reg.memberships) == 0 || now.Add(-reg.retention).Before(reg.memberships[0].since) {
		return false
	}
	windowStart := now.Add(-reg.retention)
	for i, m := range reg.memberships {
		if i+1 < len(reg.memberships) && reg.memberships[i+1].since.Before(windowStart) {
			continue
		}
		if !pairContains(m.members, k, reg.self) {
			return false
		}
	}
	return true
}

func pairContains(members []fleet.Member, k Key, name model.Instance) bool {
	primary, secondary := Pair(members, k)
	return primary.Name() == name || secondary.Name() == name
}

// other returns the other daemon of a key's pair in the newest membership, and whether
// this daemon is one of the pair.
func (reg *Registry) other(k Key) (fleet.Member, bool) {
	if len(reg.memberships) == 0 {
		return fleet.Member{}, false
	}
	primary, secondary := Pair(reg.memberships[len(reg.memberships)-1].members, k)
	switch reg.self {
	case primary.Name():
		return secondary, true
	case secondary.Name():
		return primary, true
	}
	return fleet.Member{}, false
}

// Len returns the number of records.
func (reg *Registry) Len() int { return len(reg.records) }

// Bytes returns the size of all stored bodies together, in bytes.
func (reg *Registry) Bytes() int { return reg.storedBytes }

// Members returns the members of the newest membership observed.
func (reg *Registry) Members() []fleet.Member {
	if len(reg.memberships) == 0 {
		return nil
	}
	return slices.Clone(reg.memberships[len(reg.memberships)-1].members)
}
