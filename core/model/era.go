package model

// A store that is restored from an older copy starts a new era: its revisions go back
// and are assigned again. A version therefore has the era in its high bits and the
// store's revision below, so that versions of a later era are higher and comparisons
// between daemons need no agreement on the era. A store without eras is in era zero.
const (
	// eraShift leaves 2^48 revisions: 1,200 writes a second for 7,000 years.
	eraShift = 48
	// MaxEra is the highest era that a version can have.
	MaxEra = 1<<(64-eraShift) - 1
)

// VersionAt returns the version of a revision in an era of the store. Revision zero
// stands for a key that does not exist in that era.
func VersionAt(era, revision uint64) uint64 { return era<<eraShift | revision }

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> eraShift }

// RevisionOf returns the revision of a version within its era.
func RevisionOf(version uint64) uint64 { return version & (1<<eraShift - 1) }
