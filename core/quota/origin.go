package quota

// Origin is how this daemon came to hold a lease.
//
//sumtype:decl
type Origin interface{ isOrigin() }

// Members of Origin.
type (
	// Created is that the failure domain had no lease.
	Created struct{}
	// Vacated is that the holder before resigned.
	Vacated struct{}
	// Ended is that the process of the holder before is proven to have ended.
	Ended struct{}
	// Lapsed is that the holder before did not renew the lease.
	Lapsed struct{}
	// Expired is that the holder before left a challenge unanswered for the lifetime of a
	// lease.
	Expired struct{}
	// Found is that the record named this daemon, without an answer to its own write.
	Found struct{}
)

func (Created) isOrigin() {}
func (Vacated) isOrigin() {}
func (Ended) isOrigin()   {}
func (Lapsed) isOrigin()  {}
func (Expired) isOrigin() {}
func (Found) isOrigin()   {}

// OriginName returns the name of an origin in logs and metrics.
func OriginName(o Origin) string {
	switch o.(type) {
	case Created:
		return "created"
	case Vacated:
		return "vacated"
	case Ended:
		return "ended"
	case Lapsed:
		return "lapsed"
	case Expired:
		return "expired"
	case Found:
		return "found"
	}
	return ""
}
