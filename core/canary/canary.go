// Package canary decides on rollouts: how much of a service's traffic goes to targets
// of a new version, whether that version is as good as the old one, and when the old
// targets are no longer used. It addresses versions that fail or are slow, at once or
// later, on all routes or on one, and bounds how many requests such a version gets.
//
// Controller holds the control state of all orders, Exposure counts and chooses at the
// entry daemon, Gate refuses at the daemon beside a target.
package canary

import (
	"time"

	"anvilstand/core/model"
)

// Order is the operator's order to move the traffic of a service to targets of a
// version. The zero value is no order.
type Order struct {
	service  model.Service
	version  string
	duration time.Duration
}

// NewOrder returns an order that has to be decided within a duration.
func NewOrder(s model.Service, version string, d time.Duration) Order {
	return Order{service: s, version: version, duration: d}
}

// Service returns the service whose traffic moves.
func (o Order) Service() model.Service { return o.service }

// Version returns the version of the new targets.
func (o Order) Version() string { return o.version }

// Duration returns the time limit of the order.
func (o Order) Duration() time.Duration { return o.duration }

// State is how far an order has come. States go forward only, in the order of their
// declaration; Completed and RolledBack are final.
//
//sumtype:decl
type State interface{ isState() }

// Members of State.
type (
	// Unknown means that this daemon has not heard of the state: the new version gets
	// nothing yet.
	Unknown struct{}
	// Active means that the new version gets a share.
	Active struct{}
	// Promoted means that the new version gets all requests, while those at the old
	// one end.
	Promoted struct{}
	// Completed means that no request is at the old targets and none will be sent there.
	Completed struct{}
	// RolledBack means that the new version gets no more requests.
	RolledBack struct{}
)

func (Unknown) isState()    {}
func (Active) isState()     {}
func (Promoted) isState()   {}
func (Completed) isState()  {}
func (RolledBack) isState() {}

// StateName returns the name of a state in logs, messages and queries.
func StateName(s State) string {
	switch s.(type) {
	case Unknown:
		return "unknown"
	case Active:
		return "active"
	case Promoted:
		return "promoted"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	}
	return "unknown"
}

// ParseState returns the state with a name, and false if there is none.
func ParseState(name string) (State, bool) {
	for _, s := range []State{Unknown{}, Active{}, Promoted{}, Completed{}, RolledBack{}} {
		if StateName(s) == name {
			return s, true
		}
	}
	return Unknown{}, false
}

// IsFinal reports whether a state does not change any more.
func IsFinal(s State) bool { return rankOf(s) >= rankOf(Completed{}) }

// rankOf returns how far a state is. The two final states are equally far.
func rankOf(s State) int {
	switch s.(type) {
	case Unknown:
		return 0
	case Active:
		return 1
	case Promoted:
		return 2
	case Completed, RolledBack:
		return 3
	}
	return 0
}

// Shares and times of an order.
const (
	// MaxShare bounds what the new version gets before it is promoted, as a share of
	// the answers that the entry daemon has had since the order. The system promises
	// 0.1 over the fleet.
	MaxShare = 0.09
	// firstShare is the share until loadShareAt of the duration.
	firstShare = 0.05
	// loadShare is the share from then on. It shows versions that are bad under load.
	loadShare   = 0.3
	loadShareAt = 0.5
	// promoteAt is the part of the duration at which a version with minAnswers is
	// promoted, promoteSparseAt the one for fewer. The rest is for the last requests
	// at the old version, and for a slow store.
	promoteAt       = 0.6
	promoteSparseAt = 0.75
	// minAnswers is the number of answers of the new version that a promotion needs: of
	// 30 a version that fails in a quarter has the 7 or 8 failures that an alarm takes.
	// minSparseAnswers is that at promoteSparseAt, for services with few requests.
	minAnswers       = 30
	minSparseAnswers = 3
	// contactExpiry is how long the new version gets requests from a daemon that gets no
	// report of the fleet. A bad version must get none 5 s after its 50th bad answer.
	contactExpiry = 3 * time.Second
	// ReportInterval is the time between two reports of a daemon. Three of them, and
	// three hops, stay below the 5 s.
	ReportInterval = 750 * time.Millisecond
	// forwardInterval is the least time between two reports that a daemon passes down
	// the tree unchanged.
	forwardInterval = 300 * time.Millisecond
	// recheckInterval is the time between two looks of a watcher at the stored state of
	// an open order: a part of the fleet that it does not hear may have decided.
	recheckInterval = 2 * time.Second
	// reportExpiry is how long the report of another daemon is counted: five of its reports
	// may be lost.
	reportExpiry = 5 * time.Second
	// resumeWait is how long a daemon that restarts during an order may leave its old
	// target idle, until it has heard of a promotion if there was one, and how long its
	// gate is not counted as idle: requests of the process before may still run. The
	// promises hold for daemons that have been in contact with the fleet for 3 s, and
	// time limits of requests are mostly shorter.
	resumeWait = 3 * time.Second
	// warmTime is how long a target that has just been listed gets no share. Targets are
	// cold for 3 s: a slow answer would say nothing about the version, and yet be one of
	// the 50 bad answers of a bad one.
	warmTime = 3 * time.Second
	// listTime bounds the time after an order until targets of its version that were there
	// before are listed with it. They count as old until then. After an order that was
	// replaced by one for the old version, there may be no others.
	listTime = 3 * time.Second
	// gateDelay is the time between promotion and the closing of the old targets'
	// gates, in which the other entry daemons hear of the promotion.
	gateDelay = 600 * time.Millisecond
)
