// Package route is the load balancer: it picks one of a service's targets for a
// request, by the load and the admission levels that targets' daemons report with
// their responses, and by the outcomes of earlier attempts. It uses the power of two
// random choices, outlier detection with a half-open state, and shedding by level
// before a request is sent. Where targets tell how long they take, it picks by expected
// completion instead of load. The matching of a request's path to a service is in
// package conf.
package route

import (
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Pattern is the pattern of a route of a service: method and path prefix, such as
// "GET /".
type Pattern string

// Report is the state of a target that its daemon reports with each response.
type Report struct {
	level    model.Position
	load     float64
	limit    int
	expected time.Duration
}

// NewReport returns a report of the admission level from which on requests are
// shed, of the load as a fraction of the concurrency limit, and of that limit,
// which is at least 1.
func NewReport(level model.Position, load float64, limit int) Report {
	return Report{level: level, load: load, limit: max(1, limit)}
}

// Level returns the level: requests whose position is at or above it are shed.
func (r Report) Level() model.Position { return r.level }

// WithMaxLevel returns the report with a level of at most l.
func (r Report) WithMaxLevel(l model.Position) Report {
	r.level = min(r.level, l)
	return r
}

// Load returns the running and queued requests as a fraction of the limit.
func (r Report) Load() float64 { return r.load }

// Limit returns the target's concurrency limit.
func (r Report) Limit() int { return r.limit }

// Expected returns the time until a request that reaches the target now would be
// answered, zero if the report does not tell.
func (r Report) Expected() time.Duration { return r.expected }

// WithExpected returns the report with the time until a request that reaches the target
// now would be answered.
func (r Report) WithExpected(d time.Duration) Report {
	r.expected = max(0, d)
	return r
}

// Outcome is how an attempt at a target ended.
//
//sumtype:decl
type Outcome interface{ isOutcome() }

// Outcomes of an attempt.
type (
	// Answered is a response of the target, or a refusal by its daemon.
	Answered struct{}
	// Broken is an attempt that was sent, wholly or in part, and got no
	// response: a broken connection, or none by the deadline.
	Broken struct{}
	// Unreached is an attempt for which no connection could be made.
	Unreached struct{}
	// Canceled is an attempt that the caller gave up, which is no evidence
	// against the target.
	Canceled struct{}
)

func (Answered) isOutcome()  {}
func (Broken) isOutcome()    {}
func (Unreached) isOutcome() {}
func (Canceled) isOutcome()  {}

// Balancer picks targets by what one daemon has seen of them. In the zero value all
// targets are unknown: without load, open to every request and not ejected. It is
// not safe for concurrent use.
type Balancer struct {
	targets    map[model.Instance]*target
	candidates []candidate // of the last choice
	disabled   Feature
}

// target is the state of one target as seen by this daemon.
type target struct {
	inFlight         int     // attempts of this daemon
	inFlightAtReport int     // inFlight when the last report came
	load             float64 // as last reported
	limit            int     // as last reported; zero without a report
	expected         time.Duration
	reportTime       model.Instant
	levels           map[Pattern]level
	failures         int  // successive attempts without a response
	unreachable      bool // the last attempt found no connection
	ejectedUntil     model.Instant
	ejection         time.Duration // length of the last ejection; zero after a response
}

// level is a reported admission level.
type level struct {
	position model.Position
	reported model.Instant
}

// candidate is a target that a request may go to, with its state (nil if nothing is
// known), its load, its expected time until an answer in seconds, and whether it is in the
// own failure domain.
type candidate struct {
	member   *fleet.Member
	state    *target
	load     float64
	cost     float64
	inDomain bool
}

// Feature is a bit set of features: mechanisms of a balancer that Without can switch,
// to measure what each of them contributes.
type Feature uint8

// Features of a balancer.
const (
	// FeatureLevel sheds requests that the levels of all targets refuse, before
	// they are sent.
	FeatureLevel Feature = 1 << iota
	// FeatureLoad picks the less loaded of two random targets. Without it the
	// choice is random.
	FeatureLoad
	// FeatureOwnDomain prefers targets in the daemon's own failure domain.
	FeatureOwnDomain
	// FeatureEjection ejects outliers and unreachable targets (outlier
	// detection).
	FeatureEjection
	// FeatureNearestOfLeastLoaded is off by default, and on when it is in the set
	// given to Without. It replaces the choice between two random targets: among
	// the LeastLoadedCandidates targets with the lowest load, it picks one of the
	// own failure domain, or else the least loaded.
	FeatureNearestOfLeastLoaded
	// FeatureCost picks by expected completion where targets report it. Without it the
	// choice is by load alone.
	FeatureCost
	// NoFeatures is the empty set.
	NoFeatures Feature = 0
)

// Without returns a balancer with some features disabled, for measurements. The
// choice of the nearest among the least loaded, which is off by default, is enabled
// instead.
func Without(off Feature) *Balancer { return &Balancer{disabled: off} }

// Durations and bounds of a balancer.
const (
	// LevelExpiry is the age at which a reported level admits all requests. Until
	// then the level rises with the square of its age.
	LevelExpiry = time.Second
	// LoadExpiry is the age at which a reported load is no longer used.
	LoadExpiry = time.Second
	// FullLoad is the load, as a fraction of the concurrency limit, from which a
	// target counts as full. When all targets of the own failure domain are
	// full, others are picked too.
	FullLoad = 1.2
	// AssumedLimit is the concurrency limit assumed for a target without a
	// report.
	AssumedLimit = 4
	// OutlierFailures is the number of successive attempts without a response
	// after which a target is ejected as an outlier.
	OutlierFailures = 3
	// EjectedDivisor bounds the outliers ejected at the same time: the number of
	// reachable targets of the service divided by it.
	EjectedDivisor = 3
	// MinEjection and MaxEjection bound the ejection of an outlier, which doubles
	// each time (exponential backoff). An unreachable target is ejected for MinEjection.
	MinEjection = 500 * time.Millisecond
	MaxEjection = 20 * time.Second
	// ShedRetryAfter is the wait that a caller is told when no target admits its
	// request.
	ShedRetryAfter = 200 * time.Millisecond
	// LeastLoadedCandidates is the number of least loaded targets of which the
	// nearest is picked, where that feature is enabled.
	LeastLoadedCandidates = 3
)
