package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Ask is what the choice of a target depends on.
type Ask struct {
	own   model.Domain
	path  Path
	place model.Place
}

// NewAsk returns the ask of a request from a failure domain.
func NewAsk(own model.Domain, path Path, place model.Place) Ask {
	return Ask{own: own, path: path, place: place}
}

// Pick chooses one of the members for a request. It prefers those that admit
// the request, of the own failure domain as long as they are not full, and
// takes the less loaded of two random ones. The error is a *model.Refusal:
// Shed when there are members and none admits the request, NoTarget when none
// can be reached.
func (t *Table) Pick(now model.Instant, rnd *rand.Rand, members []fleet.Member, a Ask) (fleet.Member, error) {
	if len(members) == 0 {
		return fleet.Member{}, model.Refuse(model.NoTarget{}, 0)
	}
	if t.lostAll(now, members) {
		return fleet.Member{}, model.Refuse(model.NoTarget{}, FirstPause)
	}
	all := t.admitting(t.candidates(now, t.trusted(now, members), a))
	if len(all) == 0 {
		return fleet.Member{}, model.Refuse(model.Shed{}, ShedWait)
	}
	if t.off&PartDeep != 0 {
		return deep(all, a.own), nil
	}
	if t.off&PartNear == 0 {
		all = spill(a.own, all)
	}
	x := all[rnd.IntN(len(all))]
	y := all[rnd.IntN(len(all))]
	if y.load < x.load && t.off&PartLoad == 0 {
		x = y
	}
	return x.member, nil
}

// Level returns the highest level known of the members on a path. Without a
// member it is model.Places.
func (t *Table) Level(now model.Instant, members []fleet.Member, path Path) model.Place {
	if len(members) == 0 {
		return model.Places
	}
	highest := model.Place(0)
	for _, m := range members {
		highest = max(highest, t.level(now, m.Name(), path))
	}
	return highest
}

// Aside returns the members that are set aside: those that cannot be reached,
// and a third at most of the others, those with the most attempts without an
// answer. When the pause of one that was not reached is over, it gets one
// request at a time until it has answered one.
func (t *Table) Aside(now model.Instant, members []fleet.Member) []fleet.Member {
	var aside, lost []fleet.Member
	for _, m := range members {
		s := t.targets[m.Name()]
		switch {
		case s == nil || !s.waits(now):
		case s.lost:
			lost = append(lost, m)
		default:
			aside = append(aside, m)
		}
	}
	slices.SortStableFunc(aside, func(a, b fleet.Member) int {
		return cmp.Compare(t.targets[b.Name()].broken, t.targets[a.Name()].broken)
	})
	return append(lost, aside[:min(len(aside), (len(members)-len(lost))/OutlierPart)]...)
}

// lostAll reports whether no member could be reached a moment ago.
func (t *Table) lostAll(now model.Instant, members []fleet.Member) bool {
	for _, m := range members {
		if s := t.targets[m.Name()]; s == nil || !s.lost || !s.waits(now) {
			return false
		}
	}
	return true
}

// waits reports whether a target gets no work now.
func (s *target) waits(now model.Instant) bool {
	return now.Before(s.aside) || (s.lost && s.sent > 0)
}

func (t *Table) trusted(now model.Instant, members []fleet.Member) []fleet.Member {
	if t.off&PartAside != 0 {
		return members
	}
	aside := t.Aside(now, members)
	if len(aside) == 0 {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool {
		return slices.ContainsFunc(aside, func(a fleet.Member) bool { return a.Name() == m.Name() })
	})
}

func (t *Table) candidates(now model.Instant, members []fleet.Member, a Ask) []candidate {
	all := make([]candidate, 0, len(members))
	for _, m := range members {
		admits := t.off&PartLevel != 0 || a.place < t.level(now, m.Name(), a.path)
		all = append(all, candidate{member: m, load: t.load(now, m.Name()), admits: admits})
	}
	return all
}

func (t *Table) admitting(all []candidate) []candidate {
	return slices.DeleteFunc(all, func(c candidate) bool { return !c.admits })
}

// load returns the part of a target's limit that is taken, as last reported and
// by what was sent since.
func (t *Table) load(now model.Instant, name model.Instance) float64 {
	s := t.targets[name]
	if s == nil {
		return 0
	}
	limit := s.limit
	if limit == 0 {
		limit = FirstLimit
	}
	if s.limit == 0 || now.Sub(s.loadTime) > LoadTime {
		return float64(s.sent) / float64(limit)
	}
	return max(0, s.load+float64(s.sent-s.then)/float64(limit))
}

// level returns a target's level. It opens the more the older it is.
func (t *Table) level(now model.Instant, name model.Instance, path Path) model.Place {
	s := t.targets[name]
	if s == nil {
		return model.Places
	}
	l, ok := s.levels[path]
	if !ok {
		return model.Places
	}
	return l.at(now)
}

// spill returns the candidates of the own failure domain, or all when there
// are none or they are full.
func spill(own model.Domain, all []candidate) []candidate {
	var near []candidate
	room := false
	for _, c := range all {
		if c.member.Domain() == own {
			near = append(near, c)
			room = room || c.load < FullLoad
		}
	}
	if room {
		return near
	}
	return all
}

// deep returns the nearest of the candidates with the most free capacity.
func deep(all []candidate, own model.Domain) fleet.Member {
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.load, b.load) })
	all = all[:min(Deep, len(all))]
	for _, c := range all {
		if c.member.Domain() == own {
			return c.member
		}
	}
	return all[0].member
}
