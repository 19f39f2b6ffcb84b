package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// PickInfo holds the properties of a request on which the choice of its target
// depends.
type PickInfo struct {
	ownDomain model.Domain
	pattern   Pattern
	position  model.Position
}

// NewPickInfo returns the properties of a request: the failure domain of the daemon
// that sends it, its route, and its position by rank and order.
func NewPickInfo(ownDomain model.Domain, pattern Pattern, position model.Position) PickInfo {
	return PickInfo{ownDomain: ownDomain, pattern: pattern, position: position}
}

// Pick picks one of the members for a request. Of those that are not ejected and
// whose level admits the request, it considers only the own failure domain unless
// that is full, and takes the less loaded of two random ones (power of two random
// choices). The error is a *model.Refusal: Shed when there are members and none
// admits the request, NoTarget when there are no members or none can be reached.
func (b *Balancer) Pick(now model.Instant, rnd *rand.Rand, members []fleet.Member, info PickInfo) (fleet.Member, error) {
	if len(members) == 0 {
		return fleet.Member{}, model.Refuse(model.NoTarget{}, 0)
	}
	if b.allUnreachable(now, members) {
		return fleet.Member{}, model.Refuse(model.NoTarget{}, MinEjection)
	}
	all := b.admitting(b.candidates(now, b.eligible(now, members), info))
	if len(all) == 0 {
		return fleet.Member{}, model.Refuse(model.Shed{}, ShedRetryAfter)
	}
	if b.disabled&FeatureNearestOfLeastLoaded != 0 {
		return nearestOfLeastLoaded(all, info.ownDomain), nil
	}
	if b.disabled&FeatureOwnDomain == 0 {
		all = preferOwnDomain(info.ownDomain, all)
	}
	x := all[rnd.IntN(len(all))]
	y := all[rnd.IntN(len(all))]
	if y.load < x.load && b.disabled&FeatureLoad == 0 {
		x = y
	}
	return x.member, nil
}

// Level returns the highest level of the members for a route. It admits
// every request when there is no member, or one whose level is unknown.
func (b *Balancer) Level(now model.Instant, members []fleet.Member, pattern Pattern) model.Position {
	if len(members) == 0 {
		return model.PositionCount
	}
	highest := model.Position(0)
	for _, m := range members {
		highest = max(highest, b.level(now, m.Name(), pattern))
	}
	return highest
}

// Ejected returns the members that are ejected: all unreachable ones, and of the
// outliers at most a third of the reachable members, those with the most failures.
// An unreachable member whose ejection is over is half-open: it gets one request at
// a time until it has responded to one.
func (b *Balancer) Ejected(now model.Instant, members []fleet.Member) []fleet.Member {
	var outliers, unreachable []fleet.Member
	for _, m := range members {
		t := b.targets[m.Name()]
		switch {
		case t == nil || !t.ejected(now):
		case t.unreachable:
			unreachable = append(unreachable, m)
		default:
			outliers = append(outliers, m)
		}
	}
	slices.SortStableFunc(outliers, func(x, y fleet.Member) int {
		return cmp.Compare(b.targets[y.Name()].failures, b.targets[x.Name()].failures)
	})
	return append(unreachable, outliers[:min(len(outliers), (len(members)-len(unreachable))/EjectedDivisor)]...)
}

// allUnreachable reports whether every member is ejected as unreachable.
func (b *Balancer) allUnreachable(now model.Instant, members []fleet.Member) bool {
	for _, m := range members {
		if t := b.targets[m.Name()]; t == nil || !t.unreachable || !t.ejected(now) {
			return false
		}
	}
	return true
}

// ejected reports whether a target may be excluded from the choice now. An
// unreachable one whose ejection is over is excluded while an attempt is in flight.
func (t *target) ejected(now model.Instant) bool {
	return now.Before(t.ejectedUntil) || (t.unreachable && t.inFlight > 0)
}

// eligible returns the members that are not ejected.
func (b *Balancer) eligible(now model.Instant, members []fleet.Member) []fleet.Member {
	if b.disabled&FeatureEjection != 0 {
		return members
	}
	ejected := b.Ejected(now, members)
	if len(ejected) == 0 {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool {
		return slices.ContainsFunc(ejected, func(e fleet.Member) bool { return e.Name() == m.Name() })
	})
}

// candidates returns the members with their load and whether they admit a request.
func (b *Balancer) candidates(now model.Instant, members []fleet.Member, info PickInfo) []candidate {
	all := make([]candidate, 0, len(members))
	for _, m := range members {
		admits := b.disabled&FeatureLevel != 0 || info.position < b.level(now, m.Name(), info.pattern)
		all = append(all, candidate{member: m, load: b.load(now, m.Name()), admits: admits})
	}
	return all
}

// admitting returns the candidates that admit the request.
func (b *Balancer) admitting(all []candidate) []candidate {
	return slices.DeleteFunc(all, func(c candidate) bool { return !c.admits })
}

// load returns the load of a target as a fraction of its limit: the load last
// reported and the attempts sent since, or only this daemon's attempts when there
// is no recent report.
func (b *Balancer) load(now model.Instant, name model.Instance) float64 {
	t := b.targets[name]
	if t == nil {
		return 0
	}
	limit := t.limit
	if limit == 0 {
		limit = AssumedLimit
	}
	if t.limit == 0 || now.Sub(t.reportTime) > LoadExpiry {
		return float64(t.inFlight) / float64(limit)
	}
	return max(0, t.load+float64(t.inFlight-t.inFlightAtReport)/float64(limit))
}

// level returns a target's level for a route, which rises with its age.
func (b *Balancer) level(now model.Instant, name model.Instance, pattern Pattern) model.Position {
	t := b.targets[name]
	if t == nil {
		return model.PositionCount
	}
	l, ok := t.levels[pattern]
	if !ok {
		return model.PositionCount
	}
	return l.at(now)
}

// preferOwnDomain returns the candidates of the own failure domain, or all
// candidates when there are none or all of them are full.
func preferOwnDomain(own model.Domain, all []candidate) []candidate {
	var inDomain []candidate
	hasRoom := false
	for _, c := range all {
		if c.member.Domain() == own {
			inDomain = append(inDomain, c)
			hasRoom = hasRoom || c.load < FullLoad
		}
	}
	if hasRoom {
		return inDomain
	}
	return all
}

// nearestOfLeastLoaded returns a candidate of the own failure domain among the
// LeastLoadedCandidates with the lowest load, or else the one with the lowest load.
func nearestOfLeastLoaded(all []candidate, own model.Domain) fleet.Member {
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.load, b.load) })
	all = all[:min(LeastLoadedCandidates, len(all))]
	for _, c := range all {
		if c.member.Domain() == own {
			return c.member
		}
	}
	return all[0].member
}
