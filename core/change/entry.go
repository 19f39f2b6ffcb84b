package change

import "anvilstand/core/model"

// Entry is one batch of changes in the history. It makes the next revision of the
// configuration.
type Entry struct {
	revision model.Revision
	op       model.Op
	operator string
	unix     int64
	batch    []Change
}

// NewEntry returns the entry for a batch that makes revision rev. unix is the
// time in seconds since 1970 by the clock of the daemon that accepted the command.
func NewEntry(rev model.Revision, op model.Op, operator string, unix int64, batch []Change) Entry {
	return Entry{revision: rev, op: op, operator: operator, unix: unix, batch: batch}
}

// Revision returns the revision of the configuration that the entry makes.
func (e Entry) Revision() model.Revision { return e.revision }

// Op returns the id of the operator's command, by which a repeated command is
// recognised.
func (e Entry) Op() model.Op { return e.op }

// Operator returns the name of the operator who gave the command.
func (e Entry) Operator() string { return e.operator }

// Unix returns the time at which the command was accepted, in seconds since 1970.
func (e Entry) Unix() int64 { return e.unix }

// Batch returns the changes in the order in which they are applied.
func (e Entry) Batch() []Change { return e.batch }
