package main

import (
	"time"

	"anvilstand/core/model"
)

// resolution is the length of the intervals in which stats are counted.
const resolution = 250 * time.Millisecond

// stats counts the events of a run, by interval.
type stats struct {
	successes       []float64            // operations that succeeded, by interval
	usefulWork      []float64            // seconds of work for requests that succeeded, by interval
	wastedWork      []float64            // seconds of work for requests that failed, by interval
	operations      map[countKey]float64 // started by clients, by organisation and rank
	successesByOrg  map[countKey]float64
	successesByRoot map[countKey]float64
	byService       map[countKey]*rankCount
	reasons         map[string]int // refusals by reason, and "early"
}

// countKey is the key of a count: an organisation, an organisation with a rank, or a
// service, and the number of an interval of time.
type countKey struct {
	name  string
	index int
}

// rankCount counts the decisions of admission controllers and callers about one
// service, by rank, to find priority inversions.
type rankCount struct {
	highestRefused int // requests of the highest rank refused, other than for their deadline
	lowerStarted   int // requests of lower ranks started
}

// intervalOf returns the number of the interval that a time falls in.
func intervalOf(now instant) int { return int(now / instant(resolution)) }

// add adds x to the count of the current interval.
func add(list *[]float64, now instant, x float64) {
	i := intervalOf(now)
	for len(*list) <= i {
		*list = append(*list, 0)
	}
	(*list)[i] += x
}

func (s *stats) addOperation(now instant, op *operation) {
	s.operations[countKey{rankName(op.org, op.rank), intervalOf(now)}]++
}

func (s *stats) addSuccess(now instant, op *operation, work float64) {
	add(&s.successes, now, 1)
	add(&s.usefulWork, now, work)
	s.successesByOrg[countKey{orgName(op.org), intervalOf(now)}]++
	s.successesByRoot[countKey{string(op.service), intervalOf(now)}]++
}

func orgName(i int) string { return string(rune('0' + i)) }

func rankName(i int, r model.Rank) string { return orgName(i) + "/" + string(rune('0'+r)) }

func (s *stats) addWasted(now instant, work float64) { add(&s.wastedWork, now, work) }

// counts returns the counts of a service in the current interval.
func (s *stats) counts(now instant, service model.Service) *rankCount {
	key := countKey{string(service), intervalOf(now)}
	if s.byService[key] == nil {
		s.byService[key] = &rankCount{}
	}
	return s.byService[key]
}

// addEarlyRejection counts a request for which the caller's daemon picked no target:
// all were below the admission levels that they report, or none was left.
func (s *stats) addEarlyRejection(now instant, c *call) {
	s.reasons["early"]++
	if c.meta.Rank() == model.RankHighest {
		s.counts(now, c.service).highestRefused++
	}
}

// addRefusal counts a request that an admission controller refused. A refusal for a
// missed deadline does not count in highestRefused.
func (s *stats) addRefusal(now instant, c *call, r *model.Refusal) {
	s.reasons[model.ReasonName(r.Reason())]++
	_, late := r.Reason().(model.Late)
	if c.meta.Rank() == model.RankHighest && !late {
		s.counts(now, c.service).highestRefused++
	}
}

// addStart counts a request that an admission controller started.
func (s *stats) addStart(now instant, c *call) {
	if c.meta.Rank() != model.RankHighest {
		s.counts(now, c.service).lowerStarted++
	}
}

// sum returns the sum of a list over the intervals of a period.
func sum(list []float64, from, to time.Duration) float64 {
	total := 0.0
	for i := max(0, int(from/resolution)); i < int(to/resolution) && i < len(list); i++ {
		total += list[i]
	}
	return total
}

// sumOf returns the sum of the counts of a name over the intervals of a period.
func sumOf(counts map[countKey]float64, name string, from, to time.Duration) float64 {
	total := 0.0
	for i := int(from / resolution); i < int(to/resolution); i++ {
		total += counts[countKey{name, i}]
	}
	return total
}

func newStats() stats {
	return stats{
		operations:      map[countKey]float64{},
		successesByOrg:  map[countKey]float64{},
		successesByRoot: map[countKey]float64{},
		byService:       map[countKey]*rankCount{},
		reasons:         map[string]int{},
	}
}
