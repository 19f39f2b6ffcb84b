package peer

import "anvilstand/core/crash"

// CrashReport reports the crash of a target to the daemons of its service.
type CrashReport struct{ death crash.Report }

func (CrashReport) isMessage() {}

// NewCrashReport returns the message that reports a crash.
func NewCrashReport(d crash.Report) CrashReport { return CrashReport{death: d} }

// Report returns the crash, with the fingerprints of the requests in flight.
func (m CrashReport) Report() crash.Report { return m.death }
