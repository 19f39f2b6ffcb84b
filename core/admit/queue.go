package admit

import (
	"slices"

	"anvilstand/core/model"
)

// Bounds of the queue's length, in requests.
const (
	// QueueLimitPercent is the longest queue, in percent of the concurrency
	// limit.
	QueueLimitPercent = 50
	// MinQueueLimit is the longest queue of a target with a small concurrency
	// limit.
	MinQueueLimit = 4
)

// queue holds waiting tickets by rank, and within a rank by organisation.
// Organisations of the same rank are served round-robin with equal weight.
type queue struct {
	ranks    [model.RankLowest + 1]rankQueue
	size     int
	disabled Feature
}

// rankQueue holds the tickets of one rank. The rotation lists the organisations
// that have tickets, the one to serve next first; each list of tickets is in order
// of arrival.
type rankQueue struct {
	rotation []model.Org
	orgs     map[model.Org][]Ticket
}

// add inserts a ticket. If the queue is then longer than bound, it removes and
// returns a victim: in the least important rank, of the organisation with the most
// tickets there, the one with the highest position. This may be the new ticket.
func (q *queue) add(t Ticket, bound int) (Ticket, bool) {
	q.rankQueueOf(t).add(q.orgOf(t), t)
	q.size++
	if q.size <= bound {
		return Ticket{}, false
	}
	q.size--
	return q.lowestRank().takeVictim(), true
}

// rankQueueOf returns the tickets of the rank under which a ticket is queued: the
// most important one for all when service by rank is disabled.
func (q *queue) rankQueueOf(t Ticket) *rankQueue {
	if q.disabled&FeatureRank != 0 {
		return &q.ranks[model.RankHighest]
	}
	return &q.ranks[min(t.position.Rank(), model.RankLowest)]
}

// orgOf returns the organisation under which a ticket is queued: a single one for
// all when fairness is disabled.
func (q *queue) orgOf(t Ticket) model.Org {
	if q.disabled&FeatureFairness != 0 {
		return ""
	}
	return t.org
}

// lowestRank returns the tickets of the least important rank that has some.
func (q *queue) lowestRank() *rankQueue {
	i := len(q.ranks) - 1
	for i > 0 && len(q.ranks[i].rotation) == 0 {
		i--
	}
	return &q.ranks[i]
}

// takeNext removes and returns the ticket to start next: with a standing queue the
// newest of its organisation (adaptive LIFO), since older ones are more likely to
// miss their deadline. The queue must not be empty.
func (q *queue) takeNext(standingQueue bool) Ticket {
	i := 0
	for len(q.ranks[i].rotation) == 0 {
		i++
	}
	q.size--
	return q.ranks[i].take(standingQueue && q.disabled&FeatureNewestFirst == 0)
}

// remove removes the ticket with an id, if there is one.
func (q *queue) remove(id uint64) {
	for i := range q.ranks {
		r := &q.ranks[i]
		for org, list := range r.orgs {
			at := slices.IndexFunc(list, func(t Ticket) bool { return t.id == id })
			if at < 0 {
				continue
			}
			r.removeAt(org, at)
			q.size--
			return
		}
	}
}

func (r *rankQueue) add(org model.Org, t Ticket) {
	if r.orgs == nil {
		r.orgs = map[model.Org][]Ticket{}
	}
	if len(r.orgs[org]) == 0 {
		r.rotation = append(r.rotation, org)
	}
	r.orgs[org] = append(r.orgs[org], t)
}

// take removes and returns the oldest or newest ticket of the next organisation,
// and moves that organisation to the end of the rotation.
func (r *rankQueue) take(newest bool) Ticket {
	org := r.rotation[0]
	r.rotation = append(r.rotation[1:], org)
	at := 0
	if newest {
		at = len(r.orgs[org]) - 1
	}
	return r.removeAt(org, at)
}

// takeVictim removes and returns the ticket with the highest position of the
// organisation with the most tickets; among equal positions, the oldest.
func (r *rankQueue) takeVictim() Ticket {
	largest := r.rotation[0]
	for _, org := range r.rotation {
		if len(r.orgs[org]) > len(r.orgs[largest]) {
			largest = org
		}
	}
	at := 0
	for i, t := range r.orgs[largest] {
		if t.position > r.orgs[largest][at].position {
			at = i
		}
	}
	return r.removeAt(largest, at)
}

func (r *rankQueue) removeAt(org model.Org, at int) Ticket {
	t := r.orgs[org][at]
	r.orgs[org] = slices.Delete(r.orgs[org], at, at+1)
	if len(r.orgs[org]) == 0 {
		delete(r.orgs, org)
		r.rotation = slices.DeleteFunc(r.rotation, func(o model.Org) bool { return o == org })
	}
	return t
}
