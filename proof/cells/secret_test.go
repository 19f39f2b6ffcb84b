package cells

import (
	"strings"
	"testing"

	"anvilstand/core/change"
)

// TestFaultsHideKeys looks for keys in the faults of commands that hold one in
// a wrong place.
func TestFaultsHideKeys(t *testing.T) {
	known := readRed(t, t.Name())
	cases := map[string]string{
		"twice":       "withdraw key " + withdrawn + " " + withdrawn,
		"no-form":     "grant acme " + withdrawn,
		"wrong-form":  "grant acme digest " + withdrawn,
		"no-org":      "grant key " + withdrawn + " acme",
		"no-verb":     withdrawn,
		"as-a-number": "add org acme rate " + withdrawn,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := change.Parse(text)
			switch {
			case err == nil:
				t.Error("no fault")
			case !strings.Contains(err.Error(), withdrawn):
			case isRed(known, name, "Secret"):
				t.Log("known red: ", err)
			default:
				t.Error("Secret: the fault holds the key: ", err)
			}
		})
	}
}
