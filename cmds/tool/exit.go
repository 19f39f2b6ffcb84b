// Package tool provides the exit codes of the subcommands and the HTTP client for
// the operators' interface of a daemon.
package tool

// Exit codes of the command line.
const (
	// ExitOK means that the command took effect or the query was answered.
	ExitOK = 0
	// ExitRefused means that the command was refused, or failed for any other
	// reason without changing anything. A try with a broken promise ends with
	// it, too.
	ExitRefused = 1
	// ExitUnknown means that there is no usable answer of the daemon: a command
	// may have taken effect.
	ExitUnknown = 3
)

// Error is an error that ends the program with a given exit code.
type Error struct {
	code int
	text string
}

// NewError returns an error with an exit code and a text.
func NewError(code int, text string) *Error { return &Error{code: code, text: text} }

// Code returns the exit code.
func (e *Error) Code() int { return e.code }

// Error returns the text that is printed on standard error.
func (e *Error) Error() string { return e.text }
