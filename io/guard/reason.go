package guard

// Reason is why a head was refused or a connection closed. It is sealed.
type Reason interface{ isReason() }

type (
	// TooManyBytes is a head longer than the limit.
	TooManyBytes struct{}
	// TooManyLines is a head with more lines than the limit.
	TooManyLines struct{}
	// TooManyEmptyLines is a series of empty lines in place of a request.
	TooManyEmptyLines struct{}
	// SlowHead is a head that was not whole in time.
	SlowHead struct{}
	// NoMemory is a head for which the budget has no room.
	NoMemory struct{}
	// NoRoom is a connection without a whole request, closed for a newer one.
	NoRoom struct{}
)

func (TooManyBytes) isReason()      {}
func (TooManyLines) isReason()      {}
func (TooManyEmptyLines) isReason() {}
func (SlowHead) isReason()          {}
func (NoMemory) isReason()          {}
func (NoRoom) isReason()            {}

// ReasonName returns the name of a reason in metrics and logs.
func ReasonName(r Reason) string {
	switch r.(type) {
	case TooManyBytes:
		return "bytes"
	case TooManyLines:
		return "lines"
	case TooManyEmptyLines:
		return "empty"
	case SlowHead:
		return "slow"
	case NoMemory:
		return "memory"
	case NoRoom:
		return "connections"
	}
	return ""
}
