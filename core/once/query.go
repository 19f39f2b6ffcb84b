package once

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Pair returns the two daemons that a key belongs to, the first one being the
// one that runs its request. The second is in another failure domain where
// there is one, and has no name when the service has a single daemon.
func Pair(members []fleet.Member, k Key) (home, witness fleet.Member) {
	home = highest(members, k, func(fleet.Member) bool { return true })
	witness = highest(members, k, func(m fleet.Member) bool { return m.Domain() != home.Domain() })
	if witness.Name() == "" {
		witness = highest(members, k, func(m fleet.Member) bool { return m.Name() != home.Name() })
	}
	return home, witness
}

func highest(members []fleet.Member, k Key, among func(fleet.Member) bool) fleet.Member {
	var best fleet.Member
	var top uint64
	for _, m := range members {
		if !among(m) {
			continue
		}
		if n := weight(m, k); best.Name() == "" || n > top {
			best, top = m, n
		}
	}
	return best
}

func weight(m fleet.Member, k Key) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(m.Name()))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(k))
	return d.Sum64()
}

// Knows reports whether this daemon was one of a key's pair in every membership
// of the last window, so that what it does not remember has not run.
func (b *Book) Knows(now model.Instant, k Key) bool {
	if len(b.views) == 0 || now.Add(-b.window).Before(b.views[0].since) {
		return false
	}
	begin := now.Add(-b.window)
	for i, v := range b.views {
		if i+1 < len(b.views) && b.views[i+1].since.Before(begin) {
			continue
		}
		if !contains(v.members, k, b.self) {
			return false
		}
	}
	return true
}

func contains(members []fleet.Member, k Key, name model.Instance) bool {
	home, witness := Pair(members, k)
	return home.Name() == name || witness.Name() == name
}

// other returns the other daemon of a key's pair, and whether this one belongs
// to it.
func (b *Book) other(k Key) (fleet.Member, bool) {
	if len(b.views) == 0 {
		return fleet.Member{}, false
	}
	home, witness := Pair(b.views[len(b.views)-1].members, k)
	switch b.self {
	case home.Name():
		return witness, true
	case witness.Name():
		return home, true
	}
	return fleet.Member{}, false
}

// Len returns how many keys are remembered.
func (b *Book) Len() int { return len(b.records) }

// Bytes returns how much of the answers' bodies is held.
func (b *Book) Bytes() int { return b.bytes }

// Members returns the newest membership observed.
func (b *Book) Members() []fleet.Member {
	if len(b.views) == 0 {
		return nil
	}
	return slices.Clone(b.views[len(b.views)-1].members)
}
