// Package trace keeps the steps of requests in memory: what one daemon decided about
// them, and their outcomes. It keeps the newest steps of all requests for operators'
// queries, and those of requests in progress for the log. It writes no log itself;
// package story puts the logged steps of several daemons together.
package trace

import (
	"time"

	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// Step is one decision about a request, or its outcome.
//
//sumtype:decl
type Step interface{ isStep() }

// Accepted is a request whose route and key were accepted.
type Accepted struct {
	org     model.Org
	service model.Service
	rank    model.Rank
}

// Picked is the choice of a target for an attempt.
type Picked struct{ target model.Instance }

// Admitted is the start of a request at the target beside this daemon, after a
// wait in the queue.
type Admitted struct{ waited time.Duration }

// Refused is a refusal: of an attempt, by this daemon or by the one beside the
// target, or finally of the request to its caller. A request that fails has one for
// each refused attempt, and one for the caller.
type Refused struct{ refusal *model.Refusal }

// Retried is the decision to send the request again after a backoff.
type Retried struct {
	reason  model.RetryReason
	backoff time.Duration
}

// RetryDenied is the decision not to send the request again.
type RetryDenied struct{ reason retry.DenyReason }

// Answered is the start of a response.
type Answered struct{ status int }

// Replayed is the first response sent again for its idempotency key.
type Replayed struct{}

// Truncated is a response that ended before it was complete.
type Truncated struct{}

func (Accepted) isStep()    {}
func (Picked) isStep()      {}
func (Admitted) isStep()    {}
func (Refused) isStep()     {}
func (Retried) isStep()     {}
func (RetryDenied) isStep() {}
func (Answered) isStep()    {}
func (Replayed) isStep()    {}
func (Truncated) isStep()   {}

// NewAccepted returns the step of a request accepted for an organisation (empty
// on an open route), a service and a rank.
func NewAccepted(org model.Org, s model.Service, rank model.Rank) Accepted {
	return Accepted{org: org, service: s, rank: rank}
}

// NewPicked returns the step of choosing a target.
func NewPicked(target model.Instance) Picked { return Picked{target: target} }

// NewAdmitted returns the step of a request admitted after it waited in the
// queue.
func NewAdmitted(waited time.Duration) Admitted { return Admitted{waited: waited} }

// NewRefused returns the step of a refusal.
func NewRefused(r *model.Refusal) Refused { return Refused{refusal: r} }

// NewRetried returns the step of a request sent again for reason r, after a backoff
// of d.
func NewRetried(r model.RetryReason, d time.Duration) Retried { return Retried{reason: r, backoff: d} }

// NewRetryDenied returns the step of a retry that is not made, with the reason.
func NewRetryDenied(reason retry.DenyReason) RetryDenied { return RetryDenied{reason: reason} }

// NewAnswered returns the step of a response with an HTTP status.
func NewAnswered(status int) Answered { return Answered{status: status} }

// RingSize is the number of steps that a Ring keeps.
const RingSize = 8192

// Ring is a ring buffer of the newest steps of all requests. The zero value is
// empty. It is not safe for concurrent use.
type Ring struct {
	entries []entry
	next    int // index of the oldest entry in a full ring
}

// entry is a step with its request and time.
type entry struct {
	id   model.Request
	at   model.Instant
	step Step
}
