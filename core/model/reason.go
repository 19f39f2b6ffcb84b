package model

import "time"

// Reason is why a request was refused or failed. The set is closed; each
// member has a counter.
//
//sumtype:decl
type Reason interface{ isReason() }

// Members of Reason.
type (
	// NoKey is a keyed route called without a key.
	NoKey struct{}
	// BadKey is a key that is unknown or withdrawn.
	BadKey struct{}
	// NoRoute is a path that no route in force matches.
	NoRoute struct{}
	// BadRequest is a request whose form is not accepted.
	BadRequest struct{}
	// TooLarge is a request whose headers or body exceed the limit.
	TooLarge struct{}
	// OverRate is an organisation past its share of rate and burst.
	OverRate struct{}
	// NoShare is an organisation whose share here has lapsed.
	NoShare struct{}
	// Shed is a request below the target's priority threshold.
	Shed struct{}
	// QueueFull is a request that found the target's queue full.
	QueueFull struct{}
	// Late is a request that cannot meet its deadline.
	Late struct{}
	// NoTarget is a service without a target that can be reached.
	NoTarget struct{}
	// Leaving is a target or daemon in its planned stop.
	Leaving struct{}
	// DomainOut is a failure domain taken out of service.
	DomainOut struct{}
	// Poison is a request convicted of killing targets.
	Poison struct{}
	// Repeat is a request whose idempotency key was seen before and whose
	// first answer is not known.
	Repeat struct{}
	// Spent is a request whose retry budget is used up.
	Spent struct{}
	// Isolated is a request of an organisation that is not to be served while
	// the failure domain is cut off.
	Isolated struct{}
	// Declined is a request that the target says it did not run.
	Declined struct{}
	// Broken is a connection that failed after the request may have reached
	// the target.
	Broken struct{}
	// Canceled is a caller that went away.
	Canceled struct{}
)

func (NoKey) isReason()      {}
func (BadKey) isReason()     {}
func (NoRoute) isReason()    {}
func (BadRequest) isReason() {}
func (TooLarge) isReason()   {}
func (OverRate) isReason()   {}
func (NoShare) isReason()    {}
func (Shed) isReason()       {}
func (QueueFull) isReason()  {}
func (Late) isReason()       {}
func (NoTarget) isReason()   {}
func (Leaving) isReason()    {}
func (DomainOut) isReason()  {}
func (Poison) isReason()     {}
func (Repeat) isReason()     {}
func (Spent) isReason()      {}
func (Isolated) isReason()   {}
func (Declined) isReason()   {}
func (Broken) isReason()     {}
func (Canceled) isReason()   {}

// Reasons returns every member of Reason.
func Reasons() []Reason {
	return []Reason{
		NoKey{},
		BadKey{},
		NoRoute{},
		BadRequest{},
		TooLarge{},
		OverRate{},
		NoShare{},
		Shed{},
		QueueFull{},
		Late{},
		NoTarget{},
		Leaving{},
		DomainOut{},
		Poison{},
		Repeat{},
		Spent{},
		Isolated{},
		Declined{},
		Broken{},
		Canceled{},
	}
}

// reasonNames are the names that reports and counters give the reasons.
var reasonNames = map[Reason]string{
	NoKey{}:      "nokey",
	BadKey{}:     "badkey",
	NoRoute{}:    "noroute",
	BadRequest{}: "badrequest",
	TooLarge{}:   "toolarge",
	OverRate{}:   "overrate",
	NoShare{}:    "noshare",
	Shed{}:       "shed",
	QueueFull{}:  "queuefull",
	Late{}:       "late",
	NoTarget{}:   "notarget",
	Leaving{}:    "leaving",
	DomainOut{}:  "domainout",
	Poison{}:     "poison",
	Repeat{}:     "repeat",
	Spent{}:      "spent",
	Isolated{}:   "isolated",
	Declined{}:   "declined",
	Broken{}:     "broken",
	Canceled{}:   "canceled",
}

// ReasonName returns the name that reports and counters give a reason.
func ReasonName(r Reason) string {
	if name, ok := reasonNames[r]; ok {
		return name
	}
	return "none"
}

// ReasonOf returns the reason with the given name.
func ReasonOf(name string) (Reason, bool) {
	for _, r := range Reasons() {
		if ReasonName(r) == name {
			return r, true
		}
	}
	return nil, false
}

// Run says whether a request ran at a target.
//
//sumtype:decl
type Run interface{ isRun() }

// Members of Run.
type (
	// NotRun means that no byte of the request reached a target.
	NotRun struct{}
	// MayHaveRun means that a part of the request may have reached a target.
	MayHaveRun struct{}
)

func (NotRun) isRun()     {}
func (MayHaveRun) isRun() {}

// RunName returns the name that reports give a run.
func RunName(r Run) string {
	switch r.(type) {
	case NotRun:
		return "not"
	case MayHaveRun:
		return "unknown"
	}
	return "unknown"
}

// RunOf returns the run with the given name. A name that is not known is
// MayHaveRun, the claim that promises least.
func RunOf(name string) Run {
	if name == RunName(NotRun{}) {
		return NotRun{}
	}
	return MayHaveRun{}
}

// Refusal is a request's end without an answer of a target. It is an error.
type Refusal struct {
	reason Reason
	run    Run
	wait   time.Duration
}

// Refuse returns a refusal of a request that did not run, with the time a
// caller should wait before it sends again.
func Refuse(reason Reason, wait time.Duration) *Refusal {
	return &Refusal{reason: reason, run: NotRun{}, wait: wait}
}

// Fail returns a refusal of a request that may have run.
func Fail(reason Reason) *Refusal {
	return &Refusal{reason: reason, run: MayHaveRun{}}
}

// WithWait returns the refusal with another wait.
func (r *Refusal) WithWait(wait time.Duration) *Refusal {
	return &Refusal{reason: r.reason, run: r.run, wait: wait}
}

// WithRun returns the refusal with another report of the run.
func (r *Refusal) WithRun(run Run) *Refusal {
	return &Refusal{reason: r.reason, run: run, wait: r.wait}
}

// Reason returns why the request was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// Run returns whether the request may have run.
func (r *Refusal) Run() Run { return r.run }

// Wait returns how long the caller should wait before it sends again.
func (r *Refusal) Wait() time.Duration { return r.wait }

// Error returns the reason and the run.
func (r *Refusal) Error() string {
	return "refused: " + ReasonName(r.reason) + ", run: " + RunName(r.run)
}
