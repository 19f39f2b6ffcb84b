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
// choices); where targets tell how long they take, the one that is expected to answer
// first. The error is a *model.Refusal: Shed when there are members and none
// admits the request, NoTarget when there are no members or none can be reached.
func (b *Balancer) Pick(now model.Instant, rnd *rand.Rand, members []fleet.Member, info PickInfo) (fleet.Member, error) {
	if len(members) == 0 {
		return fleet.Member{}, model.Refuse(model.NoTarget{}, 0)
	}
	if b.allUnreachable(now, members) {
		return fleet.Member{}, model.Refuse(model.NoTarget{}, MinEjection)
	}
	b.findCandidates(now, members, info)
	all := b.candidates
	if len(all) == 0 {
		return fleet.Member{}, model.Refuse(model.Shed{}, ShedRetryAfter)
	}
	if b.disabled&FeatureNearestOfLeastLoaded != 0 {
		return *nearestOfLeastLoaded(all), nil
	}
	if b.disabled&FeatureCost == 0 && b.estimateCosts(now) {
		return *b.cheapest(rnd), nil
	}
	if b.disabled&FeatureOwnDomain == 0 {
		all = preferOwnDomain(all)
	}
	x := all[rnd.IntN(len(all))]
	y := all[rnd.IntN(len(all))]
	if y.load < x.load && b.disabled&FeatureLoad == 0 {
		x = y
	}
	return *x.member, nil
}

// Level returns the highest level of the members for a route. It admits
// every request when there is no member, or one whose level is unknown.
func (b *Balancer) Level(now model.Instant, members []fleet.Member, pattern Pattern) model.Position {
	if len(members) == 0 {
		return model.PositionCount
	}
	highest := model.Position(0)
	for _, m := range members {
		highest = max(highest, b.targets[m.Name()].level(now, pattern))
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

// findCandidates sets b.candidates to the members that are not ejected and admit a
// request, those of the own failure domain first. It reuses the slice, since it runs
// for every attempt over all targets of a service.
func (b *Balancer) findCandidates(now model.Instant, members []fleet.Member, info PickInfo) {
	var ejected []fleet.Member
	if b.disabled&FeatureEjection == 0 {
		ejected = b.Ejected(now, members)
	}
	b.candidates = b.candidates[:0]
	inDomain := 0
	for i := range members {
		m := &members[i]
		t := b.targets[m.Name()]
		if b.disabled&FeatureLevel == 0 && info.position >= t.level(now, info.pattern) || contains(ejected, m.Name()) {
			continue
		}
		b.candidates = append(b.candidates, candidate{member: m, state: t, load: t.loadAt(now), inDomain: m.Domain() == info.ownDomain})
		if last := len(b.candidates) - 1; b.candidates[last].inDomain {
			b.candidates[inDomain], b.candidates[last] = b.candidates[last], b.candidates[inDomain]
			inDomain++
		}
	}
}

// contains reports whether a member has a name.
func contains(members []fleet.Member, name model.Instance) bool {
	return slices.ContainsFunc(members, func(m fleet.Member) bool { return m.Name() == name })
}

// loadAt returns the load of a target as a fraction of its limit: the load last
// reported and the attempts sent since, or only this daemon's attempts when there
// is no recent report. It is zero for a nil target, of which nothing is known.
func (t *target) loadAt(now model.Instant) float64 {
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

// level returns a target's level for a route, which rises with its age. A nil target
// admits every request.
func (t *target) level(now model.Instant, pattern Pattern) model.Position {
	if t == nil {
		return model.PositionCount
	}
	l, ok := t.levels[pattern]
	if !ok {
		return model.PositionCount
	}
	return l.at(now)
}

// preferOwnDomain returns the candidates of the own failure domain, which come first,
// or all candidates when there are none or all of them are full.
func preferOwnDomain(all []candidate) []candidate {
	inDomain, hasRoom := 0, false
	for inDomain < len(all) && all[inDomain].inDomain {
		hasRoom = hasRoom || all[inDomain].load < FullLoad
		inDomain++
	}
	if hasRoom {
		return all[:inDomain]
	}
	return all
}

// nearestOfLeastLoaded returns a candidate of the own failure domain among the
// LeastLoadedCandidates with the lowest load, or else the one with the lowest load.
func nearestOfLeastLoaded(all []candidate) *fleet.Member {
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.load, b.load) })
	all = all[:min(LeastLoadedCandidates, len(all))]
	for _, c := range all {
		if c.inDomain {
			return c.member
		}
	}
	return all[0].member
}
