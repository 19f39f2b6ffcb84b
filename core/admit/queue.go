package admit

import (
	"slices"

	"anvilstand/core/model"
)

// Bounds of the queue.
const (
	// QueuePercent is the queue's bound in percent of the limit.
	QueuePercent = 50
	// MinQueue is the least bound of the queue.
	MinQueue = 4
)

// queue holds the tickets that wait: by rank, and within a rank by
// organisation. Organisations of one rank take turns with equal weight.
type queue struct {
	ranks [model.RankLowest + 1]lane
	size  int
	off   Part
}

// lane holds the tickets of one rank. Turns lists the organisations that have
// some, the next one first.
type lane struct {
	turns []model.Org
	orgs  map[model.Org][]Ticket
}

// add puts a ticket in. When more than bound wait, one of them is taken out
// again and returned: of the lowest rank, of the organisation that has the most
// there, the one last in order.
func (q *queue) add(t Ticket, bound int) (Ticket, bool) {
	q.lane(t).put(q.orgOf(t), t)
	q.size++
	if q.size <= bound {
		return Ticket{}, false
	}
	q.size--
	return q.lowest().takeLast(), true
}

func (q *queue) lane(t Ticket) *lane {
	if q.off&PartRank != 0 {
		return &q.ranks[model.RankTop]
	}
	return &q.ranks[min(t.place.Rank(), model.RankLowest)]
}

func (q *queue) orgOf(t Ticket) model.Org {
	if q.off&PartFair != 0 {
		return ""
	}
	return t.org
}

func (q *queue) lowest() *lane {
	i := len(q.ranks) - 1
	for i > 0 && len(q.ranks[i].turns) == 0 {
		i--
	}
	return &q.ranks[i]
}

// next takes the ticket that is to run next out of a queue that is not empty.
func (q *queue) next(overload bool) Ticket {
	i := 0
	for len(q.ranks[i].turns) == 0 {
		i++
	}
	q.size--
	return q.ranks[i].take(overload && q.off&PartNewest == 0)
}

// remove takes out the ticket with an id, if it is there.
func (q *queue) remove(id uint64) {
	for i := range q.ranks {
		l := &q.ranks[i]
		for org, list := range l.orgs {
			at := slices.IndexFunc(list, func(t Ticket) bool { return t.id == id })
			if at < 0 {
				continue
			}
			l.cut(org, at)
			q.size--
			return
		}
	}
}

func (l *lane) put(org model.Org, t Ticket) {
	if l.orgs == nil {
		l.orgs = map[model.Org][]Ticket{}
	}
	if len(l.orgs[org]) == 0 {
		l.turns = append(l.turns, org)
	}
	l.orgs[org] = append(l.orgs[org], t)
}

// take takes the oldest or the newest ticket of the organisation whose turn it
// is, which then goes to the end.
func (l *lane) take(newest bool) Ticket {
	org := l.turns[0]
	l.turns = append(l.turns[1:], org)
	at := 0
	if newest {
		at = len(l.orgs[org]) - 1
	}
	return l.cut(org, at)
}

// takeLast takes the ticket last in order of the organisation with the most
// tickets; among equal orders the oldest.
func (l *lane) takeLast() Ticket {
	most := l.turns[0]
	for _, org := range l.turns {
		if len(l.orgs[org]) > len(l.orgs[most]) {
			most = org
		}
	}
	at := 0
	for i, t := range l.orgs[most] {
		if t.place > l.orgs[most][at].place {
			at = i
		}
	}
	return l.cut(most, at)
}

func (l *lane) cut(org model.Org, at int) Ticket {
	t := l.orgs[org][at]
	l.orgs[org] = slices.Delete(l.orgs[org], at, at+1)
	if len(l.orgs[org]) == 0 {
		delete(l.orgs, org)
		l.turns = slices.DeleteFunc(l.turns, func(o model.Org) bool { return o == org })
	}
	return t
}
