package daemon

import (
	"math/rand/v2"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// newIncarnation returns a random incarnation for a new process. It is never zero,
// which stands for an unknown process.
func newIncarnation() model.Incarnation { return model.Incarnation(rand.Uint64()>>1 + 1) }

// registry gives the links access to the membership: which process is recorded at
// an address, and reports of processes that may have ended.
type registry struct{ loop *ctrl.Loop }

// RecordedProcess returns the process recorded at an address, zero if there is none.
func (r registry) RecordedProcess(address string) model.Incarnation {
	m, _ := fleet.FindByAddress(r.loop.View().Members(), address)
	return m.Incarnation()
}

// ReportEnded reports that a process may have ended. The report is dropped when the queue of
// the control goroutine is full; the next dial repeats it.
func (r registry) ReportEnded(address string, process model.Incarnation, e fleet.Evidence) {
	r.loop.Post(ctrl.NewProcessEnded(address, process, e))
}
