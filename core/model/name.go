package model

import (
	"strings"
	"unicode/utf8"
)

// MaxNameBytes is the length of the longest portable name, in bytes.
const MaxNameBytes = 512

// IsPortable reports whether a name that comes from outside, for example that of an
// organisation, can be carried unchanged in a header, a message, a stored value, a log line
// and a metric label: 1 to MaxNameBytes bytes of UTF-8 without control characters other than
// the tab, which neither begin nor end with a space or a tab.
func IsPortable(name string) bool {
	if name == "" || len(name) > MaxNameBytes || !utf8.ValidString(name) {
		return false
	}
	if strings.Trim(name, " \t") != name {
		return false // recipients of a header drop them
	}
	return !strings.ContainsFunc(name, isControl)
}

func isControl(r rune) bool { return (r < ' ' && r != '\t') || r == 0x7f }
