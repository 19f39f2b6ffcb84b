// Package retry decides whether an attempt is repeated: by the reason of the
// refusal, by a budget that is divided along the call chain, and by the ratio
// of repeated to fresh work.
package retry

import "anvilstand/core/model"

// Budget is the retries that a request may still cause, here and in the calls
// below. It is only ever divided: no method adds what was not taken out before.
// The zero value allows none. It is not safe for concurrent use.
type Budget struct{ left int }

// NewBudget returns a budget of n retries, for the root of a call chain or for
// the part that came with a call.
func NewBudget(n int) Budget { return Budget{left: max(0, n)} }

// Part is what was taken out of a budget for one attempt or one call below. The
// zero value is empty.
type Part struct{ size int }

// Ratio bounds the repeated attempts by the fresh ones, by organisation and by
// service: each fresh request deposits a Share of a token, each retry takes one
// of both. The zero value allows the first retry of each. It is not safe for
// concurrent use.
type Ratio struct {
	orgs     map[model.Org]float64
	services map[model.Service]float64
}

// Limits of a Ratio.
const (
	// Share is what a fresh request allows, in retries.
	Share = 0.1
	// MaxSaved is how many retries may be saved up.
	MaxSaved = 10
	// firstSaved is what an organisation or a service begins with.
	firstSaved = 1
)

// Denied is why a retry that the reason would allow is not made.
//
//sumtype:decl
type Denied interface{ isDenied() }

// Members of Denied.
type (
	// NoBudget is a request whose budget is used up.
	NoBudget struct{}
	// OverRatio is an organisation or service past its ratio of retries.
	OverRatio struct{}
	// NoTime is a deadline that leaves no time for another attempt.
	NoTime struct{}
	// Consumed is a body that streamed through and is not held.
	Consumed struct{}
)

func (NoBudget) isDenied()  {}
func (OverRatio) isDenied() {}
func (NoTime) isDenied()    {}
func (Consumed) isDenied()  {}

// AllDenied returns every member of Denied.
func AllDenied() []Denied { return []Denied{NoBudget{}, OverRatio{}, NoTime{}, Consumed{}} }

// DeniedName returns the name that counters give a Denied.
func DeniedName(d Denied) string {
	switch d.(type) {
	case NoBudget:
		return "budget"
	case OverRatio:
		return "ratio"
	case NoTime:
		return "deadline"
	case Consumed:
		return "body"
	}
	return "none"
}

// Error is a retry that is not made. It is an error.
type Error struct{ why Denied }

// Why returns the reason.
func (e *Error) Why() Denied { return e.why }

// Error returns the reason's name.
func (e *Error) Error() string { return "no retry: " + DeniedName(e.why) }

// NewError returns the error of a retry that is not made.
func NewError(why Denied) *Error { return &Error{why: why} }
