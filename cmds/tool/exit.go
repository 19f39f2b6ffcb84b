// Package tool holds what the subcommands share: exit codes and the client of a
// daemon's operators.
package tool

// Exit codes.
const (
	// Accepted means that the command took effect or the query was answered.
	Accepted = 0
	// Refused means that nothing was changed.
	Refused = 1
	// Unknown means that the command may or may not have taken effect.
	Unknown = 3
)

// Error is an error with an exit code.
type Error struct {
	code int
	text string
}

// New returns an error with an exit code.
func New(code int, text string) *Error { return &Error{code: code, text: text} }

// Code returns the exit code.
func (e *Error) Code() int { return e.code }

// Error returns the text.
func (e *Error) Error() string { return e.text }
