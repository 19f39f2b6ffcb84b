package peer

import "anvilstand/core/crash"

// CrashReport reports the crash of a target to the daemons of its service.
type CrashReport struct{ report crash.Report }

func (CrashReport) isMessage() {}

// NewCrashReport returns the message that reports a crash.
func NewCrashReport(r crash.Report) CrashReport { return CrashReport{report: r} }

// Report returns the report, with the fingerprints of the requests in flight.
func (m CrashReport) Report() crash.Report { return m.report }
