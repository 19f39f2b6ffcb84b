// Package route chooses the target of a request, from what answers told of the
// targets' load and admission levels and from how attempts ended.
package route

import (
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Path names a route of a service in a table: its method and prefix.
type Path string

// Report is what the daemon beside a target tells with each answer.
type Report struct {
	level model.Place
	load  float64
	limit int
}

// NewReport returns a report: the place from which on requests are refused,
// the part of the limit that is taken, and the limit.
func NewReport(level model.Place, load float64, limit int) Report {
	return Report{level: level, load: load, limit: max(1, limit)}
}

// Level returns the place from which on requests are refused.
func (r Report) Level() model.Place { return r.level }

// Load returns the part of the limit that is taken.
func (r Report) Load() float64 { return r.load }

// Limit returns how many requests the target runs at a time.
func (r Report) Limit() int { return r.limit }

// End is how an attempt at a target ended.
//
//sumtype:decl
type End interface{ isEnd() }

// Members of End.
type (
	// Answered is an answer of the target or a refusal of its daemon.
	Answered struct{}
	// Broken is an attempt without an answer: no connection, a connection
	// that broke, or silence until the deadline.
	Broken struct{}
	// Unreached is an attempt for which no connection was to be had.
	Unreached struct{}
	// Canceled is an attempt that the caller gave up, which says nothing of
	// the target.
	Canceled struct{}
)

func (Answered) isEnd()  {}
func (Broken) isEnd()    {}
func (Unreached) isEnd() {}
func (Canceled) isEnd()  {}

// Table is what one daemon knows of the targets it sends to. The zero value
// knows none. It is not safe for concurrent use.
type Table struct {
	targets map[model.Instance]*target
	off     Part
}

// target is the state of one target.
type target struct {
	sent     int // attempts under way from here
	then     int // attempts under way when the load was reported
	load     float64
	limit    int
	loadTime model.Instant
	levels   map[Path]level
	broken   int  // attempts without an answer, in a row
	lost     bool // the last attempt found no connection
	aside    model.Instant
	pause    time.Duration
}

type level struct {
	place model.Place
	told  model.Instant
}

// candidate is a target that a request may go to.
type candidate struct {
	member fleet.Member
	load   float64
	admits bool
}

// Part is a set of mechanisms of a table, as bits.
type Part uint8

// Parts of a table. A measurement switches them off one by one.
const (
	// PartLevel is the early refusal by the levels of the targets.
	PartLevel Part = 1 << iota
	// PartLoad is the choice by load. Without it the choice is random.
	PartLoad
	// PartNear is the preference for the own failure domain.
	PartNear
	// PartAside is the setting aside of outliers.
	PartAside
	// PartDeep replaces the choice of two by the choice among the Deep
	// candidates with most free capacity, the nearest first.
	PartDeep
	// NoParts is the empty set.
	NoParts Part = 0
)

// Without returns a table that lacks some parts, for measurements. PartDeep
// adds one.
func Without(off Part) *Table { return &Table{off: off} }

// Bounds of a table.
const (
	// LevelTime is the age at which a level admits all. It opens with the
	// square of its age.
	LevelTime = time.Second
	// LoadTime is how long a reported load counts.
	LoadTime = time.Second
	// FullLoad is the load at which a failure domain's targets count as full.
	FullLoad = 1.2
	// FirstLimit is the limit supposed of a target that reported none.
	FirstLimit = 4
	// OutlierAttempts is the number of attempts without an answer in a row
	// that sets a target aside.
	OutlierAttempts = 3
	// OutlierPart is the divisor of the targets of a service that may be set
	// aside at a time.
	OutlierPart = 3
	// FirstPause and MaxPause bound how long a target is set aside.
	FirstPause = 500 * time.Millisecond
	MaxPause   = 20 * time.Second
	// ShedWait is the wait that an early refusal carries.
	ShedWait = 200 * time.Millisecond
	// Deep is the number of candidates of PartDeep.
	Deep = 3
)
