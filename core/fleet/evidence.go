package fleet

import "anvilstand/core/model"

// Evidence is what a connection attempt shows about the process of a member. The
// attempt began after the member was known to listen at the address. A timeout is
// no evidence: the process may be paused or partitioned.
//
//sumtype:decl
type Evidence interface{ isEvidence() }

// Members of Evidence.
type (
	// Refused means that the connection was refused. It is no proof that the
	// process has ended: the network between may refuse connections too.
	Refused struct{}
	// Replaced means that a different process answered at the address, which
	// proves that the recorded one has ended.
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
