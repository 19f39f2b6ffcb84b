package change

import "anvilstand/core/model"

// Entry is one committed change in the line of revisions.
type Entry struct {
	revision model.Revision
	op       model.Op
	operator string
	unix     int64
	batch    []Change
}

// NewEntry returns the entry for a batch. The time is in seconds since 1970 by
// the clock of the daemon that took the command.
func NewEntry(rev model.Revision, op model.Op, operator string, unix int64, batch []Change) Entry {
	return Entry{revision: rev, op: op, operator: operator, unix: unix, batch: batch}
}

// Revision returns the revision that the entry makes.
func (e Entry) Revision() model.Revision { return e.revision }

// Op returns the operation that made it.
func (e Entry) Op() model.Op { return e.op }

// Operator returns who gave the command.
func (e Entry) Operator() string { return e.operator }

// Unix returns when the command was taken, in seconds since 1970.
func (e Entry) Unix() int64 { return e.unix }

// Batch returns the changes.
func (e Entry) Batch() []Change { return e.batch }
