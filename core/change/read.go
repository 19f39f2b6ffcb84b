package change

import (
	"strings"

	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// Command is an operator's command to a daemon.
//
//sumtype:decl
type Command interface{ isCommand() }

// Members of Command.
type (
	// Batch applies changes to the configuration, either all of them or none.
	Batch struct{ changes []Change }
	// Undo restores the configuration of an earlier revision, as a new
	// revision.
	Undo struct{ revision model.Revision }
)

func (Batch) isCommand() {}
func (Undo) isCommand()  {}

// Changes returns the changes in the order in which they are applied.
func (b Batch) Changes() []Change { return b.changes }

// Revision returns the revision whose configuration is to be restored.
func (u Undo) Revision() model.Revision { return u.revision }

// maxUndoRevision is the largest revision that an undo can name.
const maxUndoRevision = 1 << 62

// ParseCommand parses an operator's command: one or more changes, or undo and a
// revision. An error is a *lang.SyntaxError. Its text contains no key.
func ParseCommand(text string) (Command, error) {
	statements, err := lang.Split(text)
	if err != nil {
		return nil, err
	}
	if len(statements) == 1 && statements[0].Peek().Text() == "undo" {
		r := statements[0]
		r.Skip()
		n, err := r.Uint("a revision", 0, maxUndoRevision)
		if err != nil {
			return nil, err
		}
		return Undo{revision: model.Revision(n)}, r.End()
	}
	batch, err := ParseChanges(text)
	if err != nil {
		return nil, err
	}
	return Batch{changes: batch}, nil
}

// Summarize returns the commands for a batch on one line, for an operator to read.
// Keys are shown as the first eight digits of their digests, so ParseChanges does
// not accept the text.
func Summarize(batch []Change) string {
	lines := make([]string, 0, len(batch))
	for _, ch := range batch {
		lines = append(lines, summaryOf(ch))
	}
	return strings.Join(lines, "; ")
}

// shortDigits is the number of hexadecimal digits of a digest that are shown.
const shortDigits = 8

func summaryOf(ch Change) string {
	if g, ok := ch.(Grant); ok {
		return "grant " + string(g.org) + " digest " + g.key.String()[:shortDigits]
	}
	if w, ok := ch.(Withdraw); ok {
		return "withdraw digest " + w.key.String()[:shortDigits]
	}
	return Format(ch)
}
