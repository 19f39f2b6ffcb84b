package model

import "time"

// Reason is why a request, or one attempt of it, was refused or failed. The set is
// closed: refused requests are counted by reason.
//
//sumtype:decl
type Reason interface{ isReason() }

// Members of Reason.
type (
	// NoKey is a request without a key on a route that needs one.
	NoKey struct{}
	// BadKey is a request whose key is unknown or withdrawn.
	BadKey struct{}
	// NoRoute is a request that matches no route of the configuration in force.
	NoRoute struct{}
	// BadRequest is a malformed request: bad metadata, HTTP before 1.1, a token of
	// no running request, an API key in the path, a body that could not be read
	// from the caller, or a malformed message between daemons.
	BadRequest struct{}
	// TooLarge is a request whose headers or body exceed the limit.
	TooLarge struct{}
	// OverRate is a request of an organisation that has used up its rate and
	// burst.
	OverRate struct{}
	// NoToken is a request of an organisation whose rate quota is not known here
	// yet, mostly because no holder of its quota leases has answered.
	NoToken struct{}
	// Shed is a request whose priority is too low for the admission level of the
	// target, or of all targets of its service.
	Shed struct{}
	// QueueFull is a request that found the target's queue or the records of
	// idempotency keys full, or that is suspected of crashing targets while
	// another suspect runs.
	QueueFull struct{}
	// Late is a request that cannot be answered before its deadline.
	Late struct{}
	// NoTarget is a request, or an attempt of it, that got to no target: the
	// service has none, none can be reached, its status is not known, the daemon
	// asked cannot serve it or has another secret, or this daemon has no
	// configuration yet.
	NoTarget struct{}
	// Leaving is a request to a target or daemon that drains, or to a target that
	// has deregistered.
	Leaving struct{}
	// DomainOut is a request to a failure domain that is out of service.
	DomainOut struct{}
	// Poison is a request whose fingerprint was found to crash targets.
	Poison struct{}
	// Repeat is a request whose idempotency key was used before, or may have
	// been, and whose first response is not stored.
	Repeat struct{}
	// Spent is a request whose retry budget is used up. This version does not
	// produce it: such a request keeps the reason of its last attempt.
	Spent struct{}
	// Isolated is a request of an organisation that is configured not to be
	// served while the failure domain is isolated.
	Isolated struct{}
	// BadOrg is a request of an organisation whose name cannot be sent to targets.
	BadOrg struct{}
	// Declined is a request that the target reports it did not run.
	Declined struct{}
	// Broken is a request whose connection failed after a part of it may have
	// reached the target.
	Broken struct{}
	// Canceled is a request whose caller closed the connection.
	Canceled struct{}
)

func (NoKey) isReason()      {}
func (BadKey) isReason()     {}
func (NoRoute) isReason()    {}
func (BadRequest) isReason() {}
func (TooLarge) isReason()   {}
func (OverRate) isReason()   {}
func (NoToken) isReason()    {}
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
func (BadOrg) isReason()     {}
func (Declined) isReason()   {}
func (Broken) isReason()     {}
func (Canceled) isReason()   {}

// Reasons returns every member of Reason, in the order of declaration.
func Reasons() []Reason {
	return []Reason{
		NoKey{},
		BadKey{},
		NoRoute{},
		BadRequest{},
		TooLarge{},
		OverRate{},
		NoToken{},
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
		BadOrg{},
		Declined{},
		Broken{},
		Canceled{},
	}
}

// reasonNames are the names of the reasons in refusals, logs and metrics.
var reasonNames = map[Reason]string{
	NoKey{}:      "nokey",
	BadKey{}:     "badkey",
	NoRoute{}:    "noroute",
	BadRequest{}: "badrequest",
	TooLarge{}:   "toolarge",
	OverRate{}:   "overrate",
	NoToken{}:    "noshare",
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
	BadOrg{}:     "badorg",
	Declined{}:   "declined",
	Broken{}:     "broken",
	Canceled{}:   "canceled",
}

// ReasonName returns the name of a reason in refusals, logs and metrics, and
// "none" for nil.
func ReasonName(r Reason) string {
	if name, ok := reasonNames[r]; ok {
		return name
	}
	return "none"
}

// ParseReason returns the reason with the given name, and false if there is none.
func ParseReason(name string) (Reason, bool) {
	for _, r := range Reasons() {
		if ReasonName(r) == name {
			return r, true
		}
	}
	return nil, false
}

// Run is whether a refused or failed request may have run at a target. A request that
// did not run can be sent again safely.
//
//sumtype:decl
type Run interface{ isRun() }

// Members of Run.
type (
	// NotRun means that no target ran any part of the request.
	NotRun struct{}
	// MayHaveRun means that a part of the request may have reached a target.
	MayHaveRun struct{}
)

func (NotRun) isRun()     {}
func (MayHaveRun) isRun() {}

// RunName returns the name of a run in refusals and logs.
func RunName(r Run) string {
	switch r.(type) {
	case NotRun:
		return "not"
	case MayHaveRun:
		return "unknown"
	}
	return "unknown"
}

// ParseRun returns the run with the given name. An unknown name gives MayHaveRun, so
// that a request that must not run twice is not retried.
func ParseRun(name string) Run {
	if name == RunName(NotRun{}) {
		return NotRun{}
	}
	return MayHaveRun{}
}

// Refusal is the error of a request, or of an attempt of it, that ends without a
// complete response from a target.
type Refusal struct {
	reason Reason
	run    Run
	wait   time.Duration
}

// Refuse returns the refusal of a request that did not run. The caller should wait
// for the given time before it sends the request again; zero means that no such time
// is known.
func Refuse(reason Reason, wait time.Duration) *Refusal {
	return &Refusal{reason: reason, run: NotRun{}, wait: wait}
}

// Fail returns the refusal of a request that may have run.
func Fail(reason Reason) *Refusal {
	return &Refusal{reason: reason, run: MayHaveRun{}}
}

// WithWait returns a copy of the refusal with another wait.
func (r *Refusal) WithWait(wait time.Duration) *Refusal {
	return &Refusal{reason: r.reason, run: r.run, wait: wait}
}

// WithRun returns a copy of the refusal with another run.
func (r *Refusal) WithRun(run Run) *Refusal {
	return &Refusal{reason: r.reason, run: run, wait: r.wait}
}

// Reason returns why the request was refused or failed.
func (r *Refusal) Reason() Reason { return r.reason }

// Run returns whether the request may have run.
func (r *Refusal) Run() Run { return r.run }

// Wait returns how long the caller should wait before it sends the request
// again. It is zero when no such time is known.
func (r *Refusal) Wait() time.Duration { return r.wait }

// Error returns the names of the reason and of the run.
func (r *Refusal) Error() string {
	return "refused: " + ReasonName(r.reason) + ", run: " + RunName(r.run)
}
