// Package story reconstructs what became of one request, and the cause of its
// outcome, from the log lines of several daemons (subcommand explain). The lines are
// read in package saved. It orders steps by causality instead of by time, since the
// clocks of daemons differ: the steps of the daemon where the request entered
// keep their order, and those of the daemon beside a target follow the choice
// of that target.
package story

import (
	"time"

	"anvilstand/core/model"
)

// Line is one logged step of a request.
type Line struct {
	instance model.Instance
	at       time.Time
	id       model.Request
	step     Step
	text     string
}

// NewLine returns the line of a step that instance i took at a time by its own
// clock. The text is printed for it.
func NewLine(i model.Instance, at time.Time, id model.Request, s Step, text string) Line {
	return Line{instance: i, at: at, id: id, step: s, text: text}
}

// Step is the part of a line that matters to the order and the cause. The members
// are steps of package trace, as read back from a log by their trace.StepName.
//
//sumtype:decl
type Step interface{ isStep() }

// Members of Step.
type (
	// Accepted is the acceptance of a request by the daemon where it entered.
	Accepted struct{}
	// Picked is the choice of a target.
	Picked struct{ target model.Instance }
	// Refused is a refusal: of an attempt, or finally of the request to its caller.
	Refused struct{ reason, run string }
	// Answered is the start of a response.
	Answered struct{ status int }
	// Truncated is a response that ended before it was complete.
	Truncated struct{}
	// Other is any other step.
	Other struct{}
)

func (Accepted) isStep()  {}
func (Picked) isStep()    {}
func (Refused) isStep()   {}
func (Answered) isStep()  {}
func (Truncated) isStep() {}
func (Other) isStep()     {}

// NewPicked returns the choice of a target.
func NewPicked(target model.Instance) Picked { return Picked{target: target} }

// NewRefused returns a refusal, by the names that logs give its reason and
// whether the request ran.
func NewRefused(reason, run string) Refused { return Refused{reason: reason, run: run} }

// NewAnswered returns a response with an HTTP status.
func NewAnswered(status int) Answered { return Answered{status: status} }

// Gap is the report of an instance that it left lines out of its log.
type Gap struct {
	instance model.Instance
	at       time.Time
	lines    int
}

// NewGap returns the report, made at a time by the clock of instance i, of a
// number of lines left out.
func NewGap(i model.Instance, at time.Time, lines int) Gap {
	return Gap{instance: i, at: at, lines: lines}
}
