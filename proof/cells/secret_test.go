package cells

import (
	"strings"
	"testing"

	"anvilstand/core/change"
)

// TestSyntaxErrorsHideKeys parses commands with a key in a wrong place and checks that
// the error does not show the key.
func TestSyntaxErrorsHideKeys(t *testing.T) {
	known := readKnownFailures(t, t.Name())
	cases := map[string]string{
		"twice":       "withdraw key " + withdrawnKey + " " + withdrawnKey,
		"no-form":     "grant acme " + withdrawnKey,
		"wrong-form":  "grant acme digest " + withdrawnKey,
		"no-org":      "grant key " + withdrawnKey + " acme",
		"no-verb":     withdrawnKey,
		"as-a-number": "add org acme rate " + withdrawnKey,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := change.ParseChanges(text)
			switch {
			case err == nil:
				t.Error("Parse accepted the command, want an error")
			case !strings.Contains(err.Error(), withdrawnKey):
			case isKnownFailure(known, name, "Secret"):
				t.Log("known red: ", err)
			default:
				t.Error("Secret: the error shows the key: ", err)
			}
		})
	}
}
