package canary

import (
	"math"
	"time"

	"anvilstand/core/model"
)

// Plan tells the traffic what the control state has decided about a service with an
// order. It is immutable. The zero value is the plan of a service without an order.
type Plan struct {
	order  Order
	state  State
	share  float64
	closed bool
	madeAt model.Instant
	// takesUnlisted is set at a daemon that has started after the completion: when all
	// daemons start, the new targets are listed without their version at first. Old ones
	// refuse by their gates.
	takesUnlisted bool
	warmAt        map[model.Instance]model.Instant
	usual         map[Route]time.Duration // of the old version's answers
	// blocked are the versions of earlier orders that were not completed.
	blocked map[string]bool
}

// HasOrder reports whether the service has an order.
func (p Plan) HasOrder() bool { return p.state != nil }

// Order returns the order.
func (p Plan) Order() Order { return p.order }

// State returns the state of the order, as far as this daemon knows.
func (p Plan) State() State { return p.state }

// Share returns the share of the requests for the new version that is wanted.
func (p Plan) Share() float64 { return p.share }

// GateClosed reports whether old targets take no more requests.
func (p Plan) GateClosed() bool { return p.closed }

// IsUsual reports whether targets of a version get the requests that are not part of the
// share.
func (p Plan) IsUsual(version string) bool {
	if p.IsNew(version) || (version == "" && p.takesUnlisted) {
		return p.movesAll()
	}
	return !p.movesAll() && !p.IsBlocked(version)
}

// movesAll reports whether the new version gets all requests.
func (p Plan) movesAll() bool {
	switch p.state.(type) {
	case Promoted, Completed:
		return true
	case Unknown, Active, RolledBack:
		return false
	}
	return false
}

// TakesShare reports whether the new version gets a share.
func (p Plan) TakesShare() bool { return p.state != nil && rankOf(p.state) <= rankOf(Active{}) }

// IsEnding reports whether all requests go to the new version and may still go back.
func (p Plan) IsEnding() bool { return p.state != nil && rankOf(p.state) == rankOf(Promoted{}) }

// IsWarm reports whether a new target has been listed for long enough to get a share.
func (p Plan) IsWarm(now model.Instant, target model.Instance) bool {
	at, ok := p.warmAt[target]
	return ok && !now.Before(at)
}

// IsNew reports whether a version is that of the new targets.
func (p Plan) IsNew(version string) bool { return version == p.order.version }

// IsBlocked reports whether targets of a version get no request at all: an earlier order
// for it was replaced before it was completed.
func (p Plan) IsBlocked(version string) bool { return p.blocked[version] && !p.IsNew(version) }

// Exposure counts the answers that an entry daemon gets, by version, and chooses the
// version for each request. It bounds the exposure without any message. It is not safe
// for concurrent use.
type Exposure struct{ byService map[model.Service]*usage }

// usage is what was sent and answered since this daemon learned of an order.
type usage struct {
	order  Order
	sent   float64 // to the new version
	answer float64 // answers of both
	credit float64
	counts map[Route]Row
}

const (
	// slowFactor is how much longer than usual a slow answer takes. Targets of one
	// version differ by up to 1.7 from the mean.
	slowFactor = 3
	// maxTimeFactor bounds the time of one answer, as a factor of the usual one and as
	// its part: one target that stands still for a moment is no evidence.
	maxTimeFactor = 4
	// planExpiry is the age from which a plan gives the new version nothing: the
	// process was paused, and may have missed a rollback.
	planExpiry = time.Second
	// maxCredit bounds the requests for the new version that have been saved up.
	maxCredit = 2
)

func (e *Exposure) usage(o Order) *usage {
	u, ok := e.byService[o.service]
	if !ok || u.order != o {
		u = &usage{order: o, counts: map[Route]Row{}}
		if e.byService == nil {
			e.byService = map[model.Service]*usage{}
		}
		e.byService[o.service] = u
	}
	return u
}

// Choose reports whether a request goes to the new version as part of the share, and
// counts it as sent there.
func (e *Exposure) Choose(now model.Instant, p Plan) bool {
	if !p.TakesShare() || now.Sub(p.madeAt) >= planExpiry {
		return false
	}
	u := e.usage(p.order)
	u.credit = min(maxCredit, u.credit+p.share)
	if p.share == 0 || u.credit < 1 || u.sent+1 > MaxShare*u.answer {
		return false
	}
	u.credit--
	u.sent++
	return true
}

// Cancel takes back a choice for the new version that was not sent.
func (e *Exposure) Cancel(p Plan) {
	if u, ok := e.byService[p.order.service]; ok && u.order == p.order && u.sent > 0 {
		u.sent--
		u.credit++
	}
}

// Answer is one answer of a target, as its entry daemon sees it.
type Answer struct {
	target  model.Instance
	version string
	route   Route
	took    time.Duration
	failed  bool
	late    bool
}

// NewAnswer returns an answer of a target of a version.
func NewAnswer(target model.Instance, version string, r Route) Answer {
	return Answer{target: target, version: version, route: r}
}

// WithTime returns the answer with the time that the target took, zero if it is not known.
func (a Answer) WithTime(d time.Duration) Answer {
	a.took = d
	return a
}

// AsFailed returns the answer as a failure of the target itself.
func (a Answer) AsFailed() Answer {
	a.failed = true
	return a
}

// AsLate returns the answer as one that did not come in time, which counts as slow.
func (a Answer) AsLate() Answer {
	a.late = true
	return a
}

// OutcomeName returns the name of the outcome of an answer in metrics.
func OutcomeName(a Answer) string {
	switch {
	case a.failed:
		return "failed"
	case a.late:
		return "late"
	}
	return "answered"
}

// Observe counts an answer.
func (e *Exposure) Observe(now model.Instant, p Plan, a Answer) {
	u := e.usage(p.order)
	u.answer++
	isNew := p.IsNew(a.version)
	tally := Tally{answers: 1}
	switch {
	case a.failed:
		tally.failed = 1
	case !isNew || p.IsWarm(now, a.target):
		tally = p.timed(tally, a, isNew)
	}
	row := Row{route: a.route}
	if isNew {
		row.news = tally
	} else {
		row.olds = tally
	}
	addRow(u.counts, row)
}

// timed returns a tally with the time of its answer. Of the new version's answers it is
// taken only when the usual time is known.
func (p Plan) timed(t Tally, a Answer, isNew bool) Tally {
	usual, known := p.usual[a.route]
	took := a.took
	if a.late {
		took = usual * maxTimeFactor
	}
	if took == 0 {
		return t
	}
	switch {
	case known:
		took = max(usual/maxTimeFactor, min(usual*maxTimeFactor, took))
		if took > slowFactor*usual {
			t.slow = 1
		}
	case isNew:
		return t
	}
	log := math.Log(max(1, float64(took.Microseconds())))
	t.timed, t.logs, t.squares = 1, uint64(log*logScale), uint64(log*log*logScale)
	return t
}

// Counts returns what was counted for an order.
func (e *Exposure) Counts(o Order) Counts {
	u, ok := e.byService[o.service]
	if !ok || u.order != o {
		return nil
	}
	return sortRows(u.counts)
}

// Retain drops what belongs to orders other than those given.
func (e *Exposure) Retain(orders map[model.Service]Order) {
	for s, u := range e.byService {
		if orders[s] != u.order {
			delete(e.byService, s)
		}
	}
}

// Gate counts the requests at the target beside a daemon and refuses those that an
// order does not allow there. It is not safe for concurrent use.
type Gate struct {
	inFlight int
	closed   bool
}

// Enter admits a request that is meant for a version, empty if the sender knows of no
// order. Own is the version of the target. Each admitted request has to Leave.
func (g *Gate) Enter(p Plan, own, meant string) bool {
	if !g.allows(p, own, meant) {
		return false
	}
	g.inFlight++
	return true
}

func (g *Gate) allows(p Plan, own, meant string) bool {
	if meant != "" && meant != own {
		return false
	}
	if !p.HasOrder() {
		return true
	}
	if p.IsBlocked(own) {
		return false
	}
	if !p.IsNew(own) {
		return !g.closed
	}
	switch p.state.(type) {
	case Unknown, Active:
		return meant == own
	case Promoted, Completed:
		return true
	case RolledBack:
		return false
	}
	return false
}

// Leave records that an admitted request has ended.
func (g *Gate) Leave() { g.inFlight-- }

// InFlight returns the number of admitted requests that have not left.
func (g *Gate) InFlight() int { return g.inFlight }

// Follow closes or opens the gate as a plan tells, and reports whether it is closed with
// no request left at the target.
func (g *Gate) Follow(p Plan, own string) bool {
	g.closed = p.closed && !p.IsNew(own)
	return g.closed && g.inFlight == 0
}
