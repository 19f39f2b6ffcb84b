package daemon

import (
	"math/rand/v2"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// newIncarnation returns the incarnation of a process that starts.
func newIncarnation() model.Incarnation { return model.Incarnation(rand.Uint64()>>1 + 1) }

// registry tells the links what the control state records, and the control
// state what the links find.
type registry struct{ loop *ctrl.Loop }

// Recorded returns the process recorded at an address.
func (r registry) Recorded(address string) model.Incarnation {
	m, _ := fleet.FindByAddress(r.loop.View().Members(), address)
	return m.Incarnation()
}

// Ended tells that a process has ended. When the control goroutine has no
// room, the next dial tells it again.
func (r registry) Ended(address string, process model.Incarnation, e fleet.Evidence) {
	r.loop.Post(ctrl.NewProven(address, process, e))
}
