// Package trace remembers what a daemon decided about its newest requests.
package trace

import (
	"time"

	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// Step is one decision about a request.
//
//sumtype:decl
type Step interface{ isStep() }

// Accepted is a request whose route and key were accepted.
type Accepted struct {
	org     model.Org
	service model.Service
	rank    model.Rank
}

// Picked is the choice of a target.
type Picked struct{ target model.Instance }

// Admitted is a request that the target beside this daemon runs.
type Admitted struct{ waited time.Duration }

// Refused is a refusal, here or of the target's daemon.
type Refused struct{ refusal *model.Refusal }

// Retried is an attempt to be repeated after a pause.
type Retried struct {
	why   model.Retry
	pause time.Duration
}

// Denied is a retry that is not made.
type Denied struct{ why retry.Denied }

// Answered is an answer that begins.
type Answered struct{ status int }

// Replayed is a first answer given again for its idempotency key.
type Replayed struct{}

// Cut is an answer that broke off.
type Cut struct{}

func (Accepted) isStep() {}
func (Picked) isStep()   {}
func (Admitted) isStep() {}
func (Refused) isStep()  {}
func (Retried) isStep()  {}
func (Denied) isStep()   {}
func (Answered) isStep() {}
func (Replayed) isStep() {}
func (Cut) isStep()      {}

// NewAccepted returns the step of a request accepted for an organisation, which
// is empty on an open route.
func NewAccepted(org model.Org, s model.Service, rank model.Rank) Accepted {
	return Accepted{org: org, service: s, rank: rank}
}

// NewPicked returns the step of a target chosen.
func NewPicked(target model.Instance) Picked { return Picked{target: target} }

// NewAdmitted returns the step of a request admitted after a wait in the queue.
func NewAdmitted(waited time.Duration) Admitted { return Admitted{waited: waited} }

// NewRefused returns the step of a refusal.
func NewRefused(r *model.Refusal) Refused { return Refused{refusal: r} }

// NewRetried returns the step of a repeated attempt.
func NewRetried(why model.Retry, pause time.Duration) Retried { return Retried{why: why, pause: pause} }

// NewDenied returns the step of a retry that is not made.
func NewDenied(why retry.Denied) Denied { return Denied{why: why} }

// NewAnswered returns the step of an answer with an HTTP status.
func NewAnswered(status int) Answered { return Answered{status: status} }

// Size is how many steps a Ring remembers.
const Size = 8192

// Ring holds the newest steps. The zero value is empty. It is not safe for
// concurrent use.
type Ring struct {
	entries []entry
	next    int
}

type entry struct {
	id   model.Request
	at   model.Instant
	step Step
}
