// Package audit records the history of a fleet under test, as its callers,
// targets and operators saw it, and checks invariants on it.
package audit

import (
	"sync"
	"time"

	"anvilstand/core/model"
)

// End is how a request ended for its caller.
//
//sumtype:decl
type End interface{ isEnd() }

// Members of End.
type (
	// Complete is an answer that was read to its end. Its id is that of the
	// request that the target says it answers.
	Complete struct{ id string }
	// Refused is a refusal by a daemon: its reason, and whether it says that
	// the request was executed (run "not" means that it never was).
	Refused struct {
		reason string
		run    string
	}
	// ConnLost is a connection that failed, or a truncated answer.
	ConnLost struct{ step string }
	// ConnectFailed means that the daemon accepted no connection.
	ConnectFailed struct{}
)

// NewComplete returns the end of a request that got a complete answer. The id is
// read from the answer.
func NewComplete(id string) Complete { return Complete{id: id} }

// NewRefused returns the end of a request that was refused.
func NewRefused(reason, run string) Refused { return Refused{reason: reason, run: run} }

// Reason returns the reason of the refusal.
func (r Refused) Reason() string { return r.reason }

// Run returns whether the refusal says that the request was executed.
func (r Refused) Run() string { return r.run }

// NewConnLost returns the end of a request whose connection failed. The step, or the
// error's text, says where.
func NewConnLost(step string) ConnLost { return ConnLost{step: step} }

// Step returns the step at which the connection failed, or the error's text.
func (c ConnLost) Step() string { return c.step }

func (Complete) isEnd()      {}
func (Refused) isEnd()       {}
func (ConnLost) isEnd()      {}
func (ConnectFailed) isEnd() {}

// Request is a request that a caller sent, once: one that is resent, under the same
// id, is recorded again. Times are since the start of the history.
type Request struct {
	id         string
	org        model.Org
	key        string
	atMostOnce bool
	sentAt     time.Duration
	endedAt    time.Duration
	end        End
}

// NewRequest returns a request that is sent at a time. A request that is not
// idempotent may be executed at most once.
func NewRequest(id string, org model.Org, key string, atMostOnce bool, sentAt time.Duration) Request {
	return Request{id: id, org: org, key: key, atMostOnce: atMostOnce, sentAt: sentAt}
}

// WithEnd returns a copy of the request with how and when it ended.
func (r Request) WithEnd(end End, endedAt time.Duration) Request {
	r.end, r.endedAt = end, endedAt
	return r
}

// ID returns the id of the request, the same each time that it is sent.
func (r Request) ID() string { return r.id }

// Key returns the caller's key.
func (r Request) Key() string { return r.key }

// Org returns the organisation that sent it.
func (r Request) Org() model.Org { return r.org }

// SentAt returns when it was sent.
func (r Request) SentAt() time.Duration { return r.sentAt }

// EndedAt returns when it ended.
func (r Request) EndedAt() time.Duration { return r.endedAt }

// End returns how it ended, or nil when it has not.
func (r Request) End() End { return r.end }

// Execution is the execution of a request at a target.
type Execution struct {
	id     string
	domain model.Domain
	from   time.Duration
	until  time.Duration
}

// NewExecution returns the execution of a request at a target of a failure domain.
func NewExecution(id string, domain model.Domain, from, until time.Duration) Execution {
	return Execution{id: id, domain: domain, from: from, until: until}
}

// ID returns the id of the request.
func (e Execution) ID() string { return e.id }

// Command is a command of an operator. A command that is given again, because its
// outcome is not known, has the same operation id.
type Command struct {
	op      string
	from    time.Duration
	until   time.Duration
	outcome Outcome
	rev     model.Revision
}

// NewCommand returns a command and its outcome, with the revision that it
// committed.
func NewCommand(op string, from, until time.Duration, outcome Outcome, rev model.Revision) Command {
	return Command{op: op, from: from, until: until, outcome: outcome, rev: rev}
}

// Outcome is what the answer to a command says.
//
//sumtype:decl
type Outcome interface{ isOutcome() }

// Members of Outcome.
type (
	// Accepted means that the change was committed.
	Accepted struct{}
	// Rejected means that nothing was changed.
	Rejected struct{}
	// Unknown means that the change may or may not have been committed.
	Unknown struct{}
)

func (Accepted) isOutcome() {}
func (Rejected) isOutcome() {}
func (Unknown) isOutcome()  {}

// Observation is the revision of the configuration in force at a daemon at a
// time. Each incarnation of a daemon counts as a daemon of its own.
type Observation struct {
	daemon string
	at     time.Duration
	rev    model.Revision
}

// NewObservation returns the revision that was in force at a daemon.
func NewObservation(daemon string, at time.Duration, rev model.Revision) Observation {
	return Observation{daemon: daemon, at: at, rev: rev}
}

// Daemon returns the daemon's name and the number of its incarnation.
func (o Observation) Daemon() string { return o.daemon }

// At returns when the daemon was observed.
func (o Observation) At() time.Duration { return o.at }

// Revision returns the revision in force.
func (o Observation) Revision() model.Revision { return o.rev }

// History records what happened to a fleet. Tally and the methods that record
// events are safe for concurrent use; the checks run after Finish.
type History struct {
	mu            sync.Mutex
	start         time.Time
	plan          Plan
	requests      []Request
	executions    []Execution
	commands      []Command
	observations  []Observation
	leaks         []string
	healedAt      time.Duration
	faultInjected bool
	calm          bool
	endedAt       time.Duration
}

// New returns an empty history that starts now.
func New(p Plan) *History { return &History{start: time.Now(), plan: p} }

// Now returns the time since the start.
func (h *History) Now() time.Duration { return time.Since(h.start) }

// AddRequest adds a request that has ended.
func (h *History) AddRequest(r Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// AddExecution adds an execution at a target.
func (h *History) AddExecution(e Execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions = append(h.executions, e)
}

// AddCommand adds an operator's command.
func (h *History) AddCommand(c Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commands = append(h.commands, c)
}

// AddObservation adds the revision in force at a daemon.
func (h *History) AddObservation(o Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, o)
}

// AddLeak adds a place in which a key was found.
func (h *History) AddLeak(place string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaks = append(h.leaks, place)
}

// AddFault records that a fault was injected now, and for how long it lasts.
func (h *History) AddFault(lasts time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultInjected = true
	h.healedAt = max(h.healedAt, h.Now()+lasts)
}

// SetCalm sets whether the Calm invariant applies: neither the step nor the
// faults break the connections of requests.
func (h *History) SetCalm(calm bool) { h.calm = calm }

// Finish records the end of the history.
func (h *History) Finish() { h.endedAt = h.Now() }

// Requests returns the requests in the order in which they ended.
func (h *History) Requests() []Request { return h.requests }

// Executions returns the executions in the order in which they ended.
func (h *History) Executions() []Execution { return h.executions }

// Observations returns the observations in the order in which they were added.
func (h *History) Observations() []Observation { return h.observations }

// executionsByID returns the executions of each request.
func (h *History) executionsByID() map[string][]Execution {
	byID := map[string][]Execution{}
	for _, exec := range h.executions {
		byID[exec.id] = append(byID[exec.id], exec)
	}
	return byID
}

// Tally counts requests by how they ended.
type Tally struct{ sent, complete, refused, connLost int }

// Sent returns the number of requests that ended.
func (t Tally) Sent() int { return t.sent }

// Complete returns the number of complete answers.
func (t Tally) Complete() int { return t.complete }

// Refused returns the number of refusals.
func (t Tally) Refused() int { return t.refused }

// ConnLost returns the number of requests whose connection failed or was not
// accepted.
func (t Tally) ConnLost() int { return t.connLost }

// Tally counts the requests that have ended so far.
func (h *History) Tally() Tally {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := Tally{sent: len(h.requests)}
	for _, req := range h.requests {
		switch req.end.(type) {
		case Complete:
			t.complete++
		case Refused:
			t.refused++
		case ConnLost, ConnectFailed:
			t.connLost++
		}
	}
	return t
}
