package canary

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Scope is what the counts of a report cover.
//
//sumtype:decl
type Scope interface{ isScope() }

// Members of Scope.
type (
	// Subtree covers the sender and those below it in the tree.
	Subtree struct{}
	// Branch covers the same, from a watcher to the other watchers of its failure domain.
	Branch struct{}
	// Domain covers the sender's failure domain.
	Domain struct{}
	// Fleet covers all failure domains.
	Fleet struct{}
)

func (Subtree) isScope() {}
func (Branch) isScope()  {}
func (Domain) isScope()  {}
func (Fleet) isScope()   {}

// Report is what a daemon tells others about an order.
type Report struct {
	order   Order
	scope   Scope
	state   State
	stored  bool
	elapsed time.Duration
	counts  Counts
	gates   uint64
}

// NewReport returns a report of a state and of the time since the order.
func NewReport(o Order, scope Scope, s State, elapsed time.Duration) Report {
	return Report{order: o, scope: scope, state: s, elapsed: max(0, elapsed)}
}

// WithCounts returns the report with counts and the sum of the hashes of the gates that
// are closed and idle.
func (r Report) WithCounts(c Counts, gates uint64) Report {
	r.counts, r.gates = c, gates
	return r
}

// AsStored returns the report with the state confirmed by the store.
func (r Report) AsStored() Report {
	r.stored = true
	return r
}

// Order returns the order.
func (r Report) Order() Order { return r.order }

// Scope returns what the counts cover.
func (r Report) Scope() Scope { return r.scope }

// State returns the state at the sender.
func (r Report) State() State { return r.state }

// Stored reports whether the store has the state.
func (r Report) Stored() bool { return r.stored }

// Elapsed returns the time since the sender, or one that it heard of, learned of the order.
func (r Report) Elapsed() time.Duration { return r.elapsed }

// Counts returns the counts.
func (r Report) Counts() Counts { return r.counts }

// Gates returns the sum of the hashes of the gates that are closed and idle.
func (r Report) Gates() uint64 { return r.gates }

// gateHash identifies the gate of a member in a sum of gates.
func gateHash(name model.Instance, process model.Incarnation) uint64 {
	d := xxhash.NewWithSeed(uint64(process))
	_, _ = d.WriteString(string(name))
	return d.Sum64()
}

// gateSum returns the sum when the gates of all old targets are closed and idle, and the
// number of old and of new targets. Targets of a version that is blocked count as neither,
// but their gates have to be closed and idle, too: they also end at the completion.
func gateSum(o Order, members []fleet.Member, isBlocked func(version string) bool) (sum uint64, olds, news int) {
	for _, m := range members {
		switch {
		case m.Service() != o.service:
		case m.Version() == o.version:
			news++
		default:
			sum += gateHash(m.Name(), m.Incarnation())
			if !isBlocked(m.Version()) {
				olds++
			}
		}
	}
	return sum, olds, news
}
