package cells

import (
	"testing"
	"testing/synctest"
)

func TestFirst(t *testing.T) {
	for _, c := range Cells(1) {
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h, err := Run(c)
				if err != nil {
					t.Fatal(err)
				}
				t.Log(len(h.sent), "sent", len(h.ran), "ran", len(h.held), "held")
				for _, p := range Promises() {
					if broken := Check(h, p); broken != "" {
						t.Error(Name(p), broken)
					}
				}
			})
		})
	}
}
