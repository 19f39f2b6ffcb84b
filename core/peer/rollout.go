package peer

import "anvilstand/core/canary"

// Rollout reports what a daemon knows of a rollout.
type Rollout struct{ report canary.Report }

// NewRollout returns the message with a report.
func NewRollout(r canary.Report) Rollout { return Rollout{report: r} }

// Report returns the report.
func (m Rollout) Report() canary.Report { return m.report }

func (Rollout) isMessage() {}
