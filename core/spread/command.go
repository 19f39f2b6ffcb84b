package spread

import (
	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Learn takes a committed change and feeds it on.
func (n *Node) Learn(now model.Instant, e change.Entry, out *peer.Outbox) error {
	before := n.line.Revision()
	err := n.line.Take(e)
	if n.line.Revision() > before {
		n.feed(now, peer.NewPush([]change.Entry{e}, n.line.Revision()), out)
	}
	if err != nil {
		return n.refuse(err)
	}
	return nil
}

// LearnBase takes a whole configuration.
func (n *Node) LearnBase(b change.Base) error {
	if err := n.line.TakeBase(b); err != nil {
		return n.refuse(err)
	}
	return nil
}

// refuse counts what was refused. A gap is no fault: what lacks is asked for.
func (n *Node) refuse(err error) error {
	if !errors.Is(err, change.ErrGap) {
		n.faults++
	}
	return err
}

// Reached notes that the store answered.
func (n *Node) Reached(now model.Instant) { n.outside = now }

// See takes the record of a failure domain and feeds the change on.
func (n *Node) See(now model.Instant, r fleet.Roll, out *peer.Outbox) {
	n.known = n.known || r.Domain() == n.self.Domain()
	old := n.roster.Roll(r.Domain())
	if r.Version() <= old.Version() {
		return
	}
	n.roster.Replace(r)
	step := r.StepFrom(old)
	for _, m := range step.Joined() {
		if old.Version() > 0 {
			n.roster.Raise(m)
		}
	}
	n.keep(step)
	n.feed(now, peer.NewRoll(step), out)
}

// keep remembers a step to send it on to who lacks it.
func (n *Node) keep(s fleet.Step) {
	if n.steps == nil {
		n.steps = map[model.Domain][]fleet.Step{}
	}
	list := append(n.steps[s.Domain()], s)
	n.steps[s.Domain()] = list[max(0, len(list)-maxSteps):]
}

// Depart begins the planned stop.
func (n *Node) Depart(now model.Instant, out *peer.Outbox) {
	n.self = n.self.AsLeaving()
	n.row.valid = false
	n.announce(now, out)
}

// Prove takes the proof that the process recorded at an address has ended. The
// watchers of all failure domains are told, and tell the others.
func (n *Node) Prove(now model.Instant, address string, process model.Incarnation, out *peer.Outbox) {
	m, ok := n.roster.Bury(address, process)
	if !ok {
		return
	}
	for _, d := range n.roster.Domains() {
		n.report(d, peer.NewGone(m, true), out)
	}
	n.drop(now, m, out)
}

// drop passes on that a process has ended, and wants it out of the record.
func (n *Node) drop(now model.Instant, m fleet.Member, out *peer.Outbox) {
	if m.Domain() == n.self.Domain() {
		n.wish(now, wish{member: m, drop: true})
	}
	n.feed(now, peer.NewGone(m, true), out)
}

// report sends a message to the watchers of a failure domain.
func (n *Node) report(d model.Domain, m peer.Message, out *peer.Outbox) {
	for i, w := range n.roster.Ranked(d) {
		if i < Watchers && w.Name() != n.self.Name() {
			out.Add(w.Name(), m)
		}
	}
}

// feed sends a message to the members that this one feeds.
func (n *Node) feed(now model.Instant, m peer.Message, out *peer.Outbox) {
	list, place := n.order(now)
	for _, i := range fed(place, len(list)) {
		out.Add(list[i].Name(), m)
	}
}

// wish notes a change that the record should take. The newest one about a
// process counts.
func (n *Node) wish(now model.Instant, w wish) {
	key := identityOf(w.member)
	old, ok := n.wishes[key]
	if ok && old.member == w.member && old.drop == w.drop {
		return
	}
	if len(n.wishes) >= maxContacts {
		return
	}
	if n.wishes == nil {
		n.wishes = map[identity]wish{}
	}
	w.since = now
	n.wishes[key] = w
}

// Tick does what is due. It is called about once a second.
func (n *Node) Tick(now model.Instant, out *peer.Outbox) {
	n.ticks++
	n.sweep(now)
	n.row.valid = false
	n.announce(now, out)
	list, place := n.order(now)
	beat := n.beat(now).WithCovered(n.below(now))
	if first, second, ok := parents(place); ok {
		n.askParents(now, [2]model.Instance{list[first].Name(), list[min(second, len(list)-1)].Name()}, beat, out)
	}
	if place < Watchers {
		n.beatAbroad(now, beat.WithCovered(n.Covered(now)), out)
		for i := range min(Watchers, len(list)) {
			if i != place {
				n.ask(now, list[i].Name(), beat, out)
			}
		}
	}
	n.missing(now, list, place, out)
}

// askParents sends a heartbeat to the two parents in turn, and to one that has
// left the last one unanswered.
func (n *Node) askParents(now model.Instant, up [2]model.Instance, b peer.Beat, out *peer.Outbox) {
	turn := n.ticks % len(up)
	for i, name := range up {
		if i == turn || n.contact(now, name).waiting {
			n.ask(now, name, b, out)
		}
	}
}

func (n *Node) beat(now model.Instant) peer.Beat {
	return peer.NewBeat(n.line.Revision(), n.roster.Digest(), n.Outside(now))
}

// ask sends a heartbeat that should be answered.
func (n *Node) ask(now model.Instant, name model.Instance, b peer.Beat, out *peer.Outbox) {
	c := n.contact(now, name)
	if !c.waiting {
		c.waiting, c.asked = true, now
	}
	n.remember(name, c)
	out.Add(name, b)
}

// contact returns what is known of another daemon. One that was never heard
// counts as heard when it was first thought of.
func (n *Node) contact(now model.Instant, name model.Instance) contact {
	c, ok := n.contacts[name]
	if !ok {
		c.heard = now
		n.remember(name, c)
	}
	return c
}

func (n *Node) remember(name model.Instance, c contact) {
	if n.contacts == nil || len(n.contacts) >= maxContacts {
		n.contacts = map[model.Instance]contact{}
	}
	n.contacts[name] = c
}

// beatAbroad sends a heartbeat to one watcher of each other failure domain, in
// turn.
func (n *Node) beatAbroad(now model.Instant, b peer.Beat, out *peer.Outbox) {
	for _, d := range n.roster.Domains() {
		if d == n.self.Domain() {
			continue
		}
		var answering []fleet.Member
		for _, m := range n.roster.Ranked(d) {
			if !n.suspected(now, m.Name()) && len(answering) < Watchers {
				answering = append(answering, m)
			}
		}
		if len(answering) > 0 {
			n.ask(now, answering[n.ticks%len(answering)].Name(), b, out)
		}
	}
}

// sweep suspects the members that have left a heartbeat unanswered.
func (n *Node) sweep(now model.Instant) {
	for name, c := range n.contacts {
		if c.waiting && !now.Before(c.asked.Add(Silence)) {
			c.waiting, c.suspect, c.suspected = false, true, now
			n.contacts[name] = c
		}
	}
	roll := n.roster.Roll(n.self.Domain())
	for name, w := range n.wishes {
		if w.fits(roll) {
			delete(n.wishes, name)
		}
	}
}

// announce asks for the record to say what this daemon is, until it does.
func (n *Node) announce(now model.Instant, out *peer.Outbox) {
	recorded, ok := n.roster.Roll(n.self.Domain()).Find(n.self)
	if ok && recorded == n.self {
		return
	}
	n.wish(now, wish{member: n.self})
	list, place := n.order(now)
	if place < Watchers && len(list) <= Watchers {
		for _, address := range n.seeds {
			out.AddAt(address, peer.NewAnnounce(n.self))
			out.AddAt(address, n.beat(now))
		}
	}
	for i := range min(Watchers, len(list)) {
		if i != place {
			n.ask(now, list[i].Name(), n.beat(now), out)
			out.Add(list[i].Name(), peer.NewAnnounce(n.self))
		}
	}
}

// missing reports the members fed from here that have been silent for long.
func (n *Node) missing(now model.Instant, list []fleet.Member, place int, out *peer.Outbox) {
	for _, i := range children(place, len(list)) {
		name := list[i].Name()
		silent := now.Sub(n.contact(now, name).heard)
		if silent >= Doubt {
			n.ask(now, name, n.beat(now), out)
		}
		if silent >= Absence {
			n.report(n.self.Domain(), peer.NewGone(list[i], false), out)
			n.hearGone(now, peer.NewGone(list[i], false), out)
		}
	}
}
