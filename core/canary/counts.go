package canary

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Route is the name of a route, as the balancer has it.
type Route string

// otherRoutes stands for the routes beyond maxRoutes.
const (
	otherRoutes Route = "*"
	// maxRoutes bounds the routes that are counted apart, and so the size of a report.
	maxRoutes = 16
)

// Tally counts the answers of one version on one route. Times are natural logarithms of
// microseconds, in thousandths, so that a few long ones do not hide the others.
type Tally struct {
	answers uint64
	failed  uint64
	timed   uint64 // answers whose time was taken
	logs    uint64 // sum of their logarithms
	squares uint64 // sum of the squares of these, in thousandths
	slow    uint64 // answers that took several times longer than usual
}

// NewTally returns the tally of a number of answers, of which some failed.
func NewTally(answers, failed uint64) Tally {
	return Tally{answers: answers, failed: min(failed, answers)}
}

// WithTimes returns the tally with the number of timed answers, the sums of their
// logarithms and of the squares, and how many were slow.
func (t Tally) WithTimes(timed, logs, squares, slow uint64) Tally {
	t.timed, t.logs, t.squares, t.slow = min(timed, t.answers), logs, squares, min(slow, timed)
	return t
}

// Answers returns the number of answers.
func (t Tally) Answers() uint64 { return t.answers }

// Failed returns how many of the answers were failures.
func (t Tally) Failed() uint64 { return t.failed }

// Timed returns how many answers were compared with the usual time.
func (t Tally) Timed() uint64 { return t.timed }

// Logs returns the sum of the logarithms of the times.
func (t Tally) Logs() uint64 { return t.logs }

// Squares returns the sum of the squares of the logarithms.
func (t Tally) Squares() uint64 { return t.squares }

// Slow returns how many of the timed answers were slow.
func (t Tally) Slow() uint64 { return t.slow }

// MeanTime returns the geometric mean of the times, zero without any.
func (t Tally) MeanTime() time.Duration {
	if t.timed == 0 {
		return 0
	}
	return time.Duration(math.Exp(float64(t.logs)/logScale/float64(t.timed)) * float64(time.Microsecond))
}

func (t Tally) add(o Tally) Tally {
	return Tally{
		answers: t.answers + o.answers, failed: t.failed + o.failed, timed: t.timed + o.timed,
		logs: t.logs + o.logs, squares: t.squares + o.squares, slow: t.slow + o.slow,
	}
}

// continues reports whether a tally may be that of a later time than another one.
func (t Tally) continues(o Tally) bool {
	return t.answers >= o.answers && t.failed >= o.failed && t.timed >= o.timed && t.logs >= o.logs && t.squares >= o.squares && t.slow >= o.slow
}

// since returns what was counted after an earlier tally, zero if this one does not
// continue it, since the counting process has restarted.
func (t Tally) since(o Tally) Tally {
	if !t.continues(o) {
		return Tally{}
	}
	return Tally{
		answers: t.answers - o.answers, failed: t.failed - o.failed, timed: t.timed - o.timed,
		logs: t.logs - o.logs, squares: t.squares - o.squares, slow: t.slow - o.slow,
	}
}

// Row is the tally of both versions on a route.
type Row struct {
	route      Route
	olds, news Tally
}

// NewRow returns the tallies of a route.
func NewRow(r Route, olds, news Tally) Row { return Row{route: r, olds: olds, news: news} }

// Route returns the route.
func (r Row) Route() Route { return r.route }

// Old returns the tally of the old version.
func (r Row) Old() Tally { return r.olds }

// New returns the tally of the new version.
func (r Row) New() Tally { return r.news }

// Counts are the tallies by route, sorted. They are immutable.
type Counts []Row

// NewCounts returns the sum of rows. At most maxRoutes of the routes, the first ones, are
// counted apart.
func NewCounts(rows []Row) Counts {
	byRoute := map[Route]Row{}
	for _, r := range rows {
		addRow(byRoute, r)
	}
	return sortRows(byRoute)
}

func addRow(byRoute map[Route]Row, r Row) {
	if _, ok := byRoute[r.route]; !ok && r.route != otherRoutes && len(byRoute) >= maxRoutes {
		r.route = otherRoutes
	}
	sum := byRoute[r.route]
	byRoute[r.route] = Row{route: r.route, olds: sum.olds.add(r.olds), news: sum.news.add(r.news)}
}

func sortRows(byRoute map[Route]Row) Counts {
	return slices.SortedFunc(maps.Values(byRoute), func(a, b Row) int { return cmp.Compare(a.route, b.route) })
}

// plus returns the sum of two counts.
func (c Counts) plus(o Counts) Counts {
	if len(c) == 0 {
		return o
	}
	if len(o) == 0 {
		return c
	}
	return NewCounts(slices.Concat(c, o))
}

// since returns what was counted after earlier counts.
func (c Counts) since(o Counts) Counts {
	before := map[Route]Row{}
	for _, r := range o {
		before[r.route] = r
	}
	rows := make([]Row, 0, len(c))
	for _, r := range c {
		b := before[r.route]
		rows = append(rows, Row{route: r.route, olds: r.olds.since(b.olds), news: r.news.since(b.news)})
	}
	return rows
}

// continues reports whether the counts may be those of a later time than others.
func (c Counts) continues(o Counts) bool {
	now := map[Route]Row{}
	for _, r := range c {
		now[r.route] = r
	}
	return !slices.ContainsFunc(o, func(r Row) bool {
		return !now[r.route].olds.continues(r.olds) || !now[r.route].news.continues(r.news)
	})
}

// Totals returns the sum over all routes.
func (c Counts) Totals() (olds, news Tally) {
	for _, r := range c {
		olds, news = olds.add(r.olds), news.add(r.news)
	}
	return olds, news
}
