package change

import (
	"strings"

	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// Command is what an operator tells a daemon.
//
//sumtype:decl
type Command interface{ isCommand() }

// Members of Command.
type (
	// Batch makes changes, all or none.
	Batch struct{ changes []Change }
	// Undo puts an earlier revision in force as a new one.
	Undo struct{ revision model.Revision }
)

func (Batch) isCommand() {}
func (Undo) isCommand()  {}

// Changes returns the changes in order.
func (b Batch) Changes() []Change { return b.changes }

// Revision returns the revision to put in force.
func (u Undo) Revision() model.Revision { return u.revision }

// maxRevision is the largest revision that is read.
const maxRevision = 1 << 62

// Read reads what an operator tells: a batch of changes, or undo with a
// revision. An error is a *lang.Fault and shows no key.
func Read(text string) (Command, error) {
	statements, err := lang.Split(text)
	if err != nil {
		return nil, err
	}
	if len(statements) == 1 && statements[0].Peek().Text() == "undo" {
		r := statements[0]
		r.Skip()
		n, err := r.Whole("a revision", 0, maxRevision)
		if err != nil {
			return nil, err
		}
		return Undo{revision: model.Revision(n)}, r.End()
	}
	batch, err := Parse(text)
	if err != nil {
		return nil, err
	}
	return Batch{changes: batch}, nil
}

// Show returns the text of a batch for people, with keys cut to the first
// digits of their digests.
func Show(batch []Change) string {
	lines := make([]string, 0, len(batch))
	for _, ch := range batch {
		lines = append(lines, showOne(ch))
	}
	return strings.Join(lines, "; ")
}

// shownDigits is how much of a digest is shown.
const shownDigits = 8

func showOne(ch Change) string {
	if g, ok := ch.(Grant); ok {
		return "grant " + string(g.org) + " digest " + g.key.String()[:shownDigits]
	}
	if w, ok := ch.(Withdraw); ok {
		return "withdraw digest " + w.key.String()[:shownDigits]
	}
	return Format(ch)
}
