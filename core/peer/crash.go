package peer

import "anvilstand/core/crash"

// Accuse reports the crash of a target to the daemons of its service.
type Accuse struct{ death crash.Report }

func (Accuse) isMessage() {}

// NewAccuse returns the message that reports a crash.
func NewAccuse(d crash.Report) Accuse { return Accuse{death: d} }

// Death returns the crash, with the fingerprints of the requests in flight.
func (m Accuse) Death() crash.Report { return m.death }
