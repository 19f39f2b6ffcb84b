package fleet

import "anvilstand/core/model"

// Evidence is proof that the process of a member has ended. A timeout is no
// evidence: the process may be paused or partitioned and act again later.
//
//sumtype:decl
type Evidence interface{ isEvidence() }

// Members of Evidence. Both come from a connection attempt that began after the
// member was known to listen at the address.
type (
	// Refused means that the address refused the connection.
	Refused struct{}
	// Replaced means that a different process answered at the address.
	Replaced struct{ by model.Incarnation }
)

func (Refused) isEvidence()  {}
func (Replaced) isEvidence() {}

// NewReplaced returns the evidence that process by answered instead.
func NewReplaced(by model.Incarnation) Replaced { return Replaced{by: by} }

// By returns the process that answered at the address.
func (r Replaced) By() model.Incarnation { return r.by }

// FindByAddress returns the first of members that listens at an address (host:port).
func FindByAddress(members []Member, address string) (Member, bool) {
	for _, m := range members {
		if m.address == address {
			return m, true
		}
	}
	return Member{}, false
}
