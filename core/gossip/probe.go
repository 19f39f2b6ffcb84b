package gossip

import (
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// probeParents sends a heartbeat to the two parents in turn, and in any case to
// one that has not answered the last one.
func (n *Node) probeParents(now model.Instant, parents [2]model.Instance, hb peer.Heartbeat, out *peer.Outbox) {
	turn := n.ticks % len(parents)
	for i, name := range parents {
		if i == turn || n.contact(now, name).waiting {
			n.probe(now, name, hb, out)
		}
	}
}

// heartbeat returns a heartbeat without a coverage.
func (n *Node) heartbeat(now model.Instant) peer.Heartbeat {
	return peer.NewHeartbeat(n.history.Revision(), n.membership.Digest(), n.IsolatedFor(now)).WithFreshness(n.Freshness(now))
}

// probe sends a heartbeat that has to be answered: without an answer the
// receiver becomes suspected (see sweep).
func (n *Node) probe(now model.Instant, name model.Instance, hb peer.Heartbeat, out *peer.Outbox) {
	n.markAsked(now, name)
	out.Add(name, hb)
}

// markAsked records that a daemon was sent a heartbeat.
func (n *Node) markAsked(now model.Instant, name model.Instance) {
	c := n.contact(now, name)
	if !c.waiting {
		c.waiting, c.askedAt = true, now
	}
	n.setContact(name, c)
}

// contact returns what is known of another daemon. One that was never heard
// counts as heard at the first call, so that it isn't reported absent at once.
func (n *Node) contact(now model.Instant, name model.Instance) contact {
	c, ok := n.contacts[name]
	if !ok {
		c.heardAt = now
		n.setContact(name, c)
	}
	return c
}

// setContact stores what is known of another daemon. When maxContacts is reached,
// it forgets all others, with their suspicions and unanswered heartbeats; later
// heartbeats find these out again.
func (n *Node) setContact(name model.Instance, c contact) {
	if n.contacts == nil || len(n.contacts) >= maxContacts {
		n.contacts = map[model.Instance]contact{}
	}
	n.contacts[name] = c
}

// probeOtherDomains sends a heartbeat to one watcher of each other failure
// domain, in turn. Suspected watchers are skipped.
func (n *Node) probeOtherDomains(now model.Instant, hb peer.Heartbeat, out *peer.Outbox) {
	for _, d := range n.membership.Domains() {
		if d == n.self.Domain() {
			continue
		}
		var answering []fleet.Member
		for _, m := range n.membership.RendezvousOrder(d) {
			if !n.isSuspected(now, m.Name()) && len(answering) < WatchersPerDomain {
				answering = append(answering, m)
			}
		}
		if len(answering) > 0 {
			n.probe(now, answering[n.ticks%len(answering)].Name(), hb, out)
		}
	}
}

// sweep marks members as suspected that have not answered a heartbeat in time,
// and drops pending edits that are in the member list.
func (n *Node) sweep(now model.Instant) {
	for name, c := range n.contacts {
		if c.waiting && !now.Before(c.askedAt.Add(AnswerTimeout)) {
			c.waiting, c.suspect, c.suspectedAt = false, true, now
			n.contacts[name] = c
		}
	}
	list := n.membership.MemberList(n.self.Domain())
	for key, e := range n.pendingEdits {
		if e.isApplied(list) {
			delete(n.pendingEdits, key)
		}
	}
}

// announce asks the watchers to list this daemon as it is now, until the member
// list does. The seeds are asked too while this daemon knows at most
// WatchersPerDomain members of its failure domain, itself included and suspected
// ones left out.
func (n *Node) announce(now model.Instant, out *peer.Outbox) {
	recorded, ok := n.membership.MemberList(n.self.Domain()).Find(n.self)
	if ok && recorded == n.self {
		return
	}
	n.addListEdit(now, listEdit{member: n.self})
	members, index := n.rendezvousOrder(now)
	if index < WatchersPerDomain && len(members) <= WatchersPerDomain {
		for _, address := range n.seeds {
			out.AddAt(address, peer.NewAnnounce(n.self))
			out.AddAt(address, n.heartbeat(now))
		}
	}
	for i := range min(WatchersPerDomain, len(members)) {
		if i != index {
			// By address: the process known there may have ended and have a successor.
			n.markAsked(now, members[i].Name())
			out.AddAt(members[i].Address(), n.heartbeat(now))
			out.AddAt(members[i].Address(), peer.NewAnnounce(n.self))
		}
	}
}

// reportAbsent probes the children that have been silent for a while, and has the watchers
// remove the members that have been silent for long: children, and those suspected, which
// are out of the rendezvous order. Among these may be a watcher, which has no parent.
func (n *Node) reportAbsent(now model.Instant, members []fleet.Member, index int, out *peer.Outbox) {
	checked := n.suspectedMembers(now)
	for _, i := range children(index, len(members)) {
		checked = append(checked, members[i])
		if now.Sub(n.contact(now, members[i].Name()).heardAt) >= ProbeAfter {
			n.probe(now, members[i].Name(), n.heartbeat(now), out)
		}
	}
	for _, m := range checked {
		if now.Sub(n.contact(now, m.Name()).heardAt) >= RemoveAfter {
			n.sendToWatchers(n.self.Domain(), peer.NewDown(m, false), out)
			n.receiveDown(now, peer.NewDown(m, false), out)
		}
	}
}

// suspectedMembers returns the listed members of the own failure domain that this daemon
// suspects.
func (n *Node) suspectedMembers(now model.Instant) []fleet.Member {
	var suspected []fleet.Member
	for name := range n.contacts {
		m, ok := n.membership.Find(name)
		if ok && m.Domain() == n.self.Domain() && n.isSuspected(now, name) {
			suspected = append(suspected, m)
		}
	}
	return suspected
}
