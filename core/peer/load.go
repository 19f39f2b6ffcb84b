package peer

import "anvilstand/core/crash"

// Accuse tells a target's death to the daemons of its service.
type Accuse struct{ death crash.Death }

func (Accuse) isMessage() {}

// NewAccuse returns the message that tells a death.
func NewAccuse(d crash.Death) Accuse { return Accuse{death: d} }

// Death returns the death.
func (a Accuse) Death() crash.Death { return a.death }
