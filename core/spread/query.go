package spread

import (
	"slices"
	"time"

	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Self returns the daemon's own member.
func (n *Node) Self() fleet.Member { return n.self }

// Config returns the configuration in force here.
func (n *Node) Config() *conf.Config { return n.line.Config() }

// Entries returns the newest entries that led to the configuration.
func (n *Node) Entries() []change.Entry { return n.line.Entries() }

// Base returns the configuration as a base.
func (n *Node) Base() change.Base { return n.line.BaseOf() }

// Roster returns the membership.
func (n *Node) Roster() *fleet.Roster { return &n.roster }

// Faults returns how many entries, bases and rolls were refused.
func (n *Node) Faults() uint64 { return n.faults }

// Outside returns how long ago the failure domain heard from the store or from
// another domain.
func (n *Node) Outside(now model.Instant) time.Duration { return now.Sub(n.outside) }

// Heard returns what was last heard of another failure domain.
func (n *Node) Heard(d model.Domain) (Heard, bool) {
	h, ok := n.heard[d]
	return h, ok
}

// order returns the failure domain's members in rendezvous order, without
// those that do not answer here, and the place of this daemon among them.
func (n *Node) order(now model.Instant) ([]fleet.Member, int) {
	if !n.row.valid || n.row.roster != n.roster.Changes() {
		n.row = n.newRow(now)
	}
	return n.row.members, n.row.place
}

func (n *Node) newRow(now model.Instant) row {
	r := row{roster: n.roster.Changes(), valid: true}
	found := false
	for _, m := range n.roster.Ranked(n.self.Domain()) {
		if m.Name() == n.self.Name() {
			m, found = n.self, true
		} else if n.suspected(now, m.Name()) {
			continue
		}
		r.members = append(r.members, m)
	}
	if !found {
		r.members = append(r.members, n.self)
		fleet.Rank(r.members)
	}
	r.place = slices.IndexFunc(r.members, func(m fleet.Member) bool { return m.Name() == n.self.Name() })
	return r
}

func (n *Node) suspected(now model.Instant, name model.Instance) bool {
	c, ok := n.contacts[name]
	return ok && c.suspect && now.Before(c.suspected.Add(Suspicion))
}

// Rank returns the daemon's place among the watchers of its failure domain,
// and whether it is one of them. A daemon that has not seen the record of its
// domain is none.
func (n *Node) Rank(now model.Instant) (int, bool) {
	if n.self.Leaving() || !n.known {
		return 0, false
	}
	_, i := n.order(now)
	return i, i < Watchers
}

// parents returns the places of the two members that feed a place. The first
// one also watches over it.
func parents(place int) (first, second int, ok bool) {
	if place < Watchers {
		return 0, 0, false
	}
	q := place - Watchers
	if q < FanOut {
		return q % Watchers, (q + 1) % Watchers, true
	}
	first = Watchers + q/FanOut - 1
	if first == Watchers {
		return first, first + 1, true
	}
	return first, first - 1, true
}

// children returns the places that have a place as their first parent.
func children(place, count int) []int {
	low, high, by := Watchers+(place-Watchers+1)*FanOut, Watchers+(place-Watchers+2)*FanOut, 1
	if place < Watchers {
		low, high, by = Watchers+place, Watchers+FanOut, Watchers
	}
	var list []int
	for i := low; i < min(high, count); i += by {
		list = append(list, i)
	}
	return list
}

// fed returns the places that a place feeds, as the first or the second.
func fed(place, count int) []int {
	if place < Watchers {
		var list []int
		for i := Watchers; i < min(Watchers+FanOut, count); i++ {
			list = append(list, i)
		}
		return list
	}
	list := append(children(place, count), children(place+1, count)...)
	if place == Watchers+1 {
		list = append(list, children(Watchers, count)...)
	}
	return list
}

// Record returns what the record of the failure domain should be, and whether
// it differs from what is recorded. Only a watcher has a say in it; the second
// one waits, so that the first can write alone.
func (n *Node) Record(now model.Instant) (fleet.Roll, bool) {
	roll := n.roster.Roll(n.self.Domain())
	rank, watching := n.Rank(now)
	if !watching {
		return roll, false
	}
	members := roll.Members()
	changed := false
	for _, w := range n.wishes {
		if w.fits(roll) || now.Before(w.since.Add(time.Duration(rank)*writerDelay)) {
			continue
		}
		changed = true
		members = w.apply(members)
	}
	return fleet.NewRoll(roll.Domain(), roll.Version(), members), changed
}

// writerDelay is how long the second watcher waits for the first to write.
const writerDelay = 2 * time.Second

// fits reports whether the record says what the wish wants.
func (w wish) fits(r fleet.Roll) bool {
	m, ok := r.Find(w.member)
	if w.drop {
		return !ok
	}
	return ok && m == w.member
}

func (w wish) apply(members []fleet.Member) []fleet.Member {
	if w.drop {
		return fleet.Retire(members, w.member)
	}
	return fleet.Announce(members, w.member)
}

// confirmTime is how long what a member confirmed is counted.
const confirmTime = 5 * time.Second

// below returns what this daemon and those below it in the tree have in force.
// Who has not been heard for a while is not counted.
func (n *Node) below(now model.Instant) peer.Covered {
	sum := peer.NewCovered(1, n.line.Revision())
	list, place := n.order(now)
	for _, i := range children(place, len(list)) {
		sum = n.confirmed(now, list[i].Name(), sum)
	}
	return sum
}

func (n *Node) confirmed(now model.Instant, name model.Instance, sum peer.Covered) peer.Covered {
	c, ok := n.contacts[name]
	if !ok || c.covered.Daemons() == 0 || now.Sub(c.told) > confirmTime {
		return sum
	}
	return sum.And(c.covered)
}

// Covered returns the daemons of the failure domain that have confirmed to this
// one: all that answer, at a watcher.
func (n *Node) Covered(now model.Instant) peer.Covered {
	sum := n.below(now)
	list, place := n.order(now)
	for i := range min(Watchers, len(list)) {
		if place < Watchers && i != place {
			sum = n.confirmed(now, list[i].Name(), sum)
		}
	}
	return sum
}
