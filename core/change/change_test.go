package change_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/lang"
	"anvilstand/core/model"
)

// drawStatement draws a statement with one of a few names, so that many of the
// statements apply.
func drawStatement(t *rapid.T) string {
	org := fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "org"))
	service := fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(t, "service"))
	key := fmt.Sprintf("secret-key-%d", rapid.IntRange(0, 4).Draw(t, "key"))
	n := rapid.IntRange(0, 1000).Draw(t, "number")
	return rapid.SampledFrom([]string{
		fmt.Sprintf("add org %s rate %d.5 burst %d rank %d", org, n, n, n%8),
		fmt.Sprintf("add org %s rate %d burst 1 isolated deny", org, n),
		fmt.Sprintf("set org %s rate %d", org, n),
		fmt.Sprintf("set org %s burst %d rank %d isolated serve", org, n, n%8),
		"drop org " + org,
		"grant " + org + " key " + key,
		"withdraw key " + key,
		"add service " + service,
		"drop service " + service,
		fmt.Sprintf("add route %s GET /p%d idempotent open rank %d", service, n%3, n%8),
		fmt.Sprintf("set route %s POST /p%d", service, n%3),
		fmt.Sprintf("drop route %s POST /p%d", service, n%3),
		"out domain north", "in domain north", "out target t-1", "in target t-1",
	}).Draw(t, "statement")
}

// drawConfig draws a configuration by applying up to 30 statements. Those that do
// not apply are left out.
func drawConfig(t *rapid.T, label string) *conf.Config {
	c := &conf.Config{}
	for range rapid.IntRange(0, 30).Draw(t, label) {
		batch, err := change.ParseChanges(drawStatement(t))
		if err != nil {
			t.Fatal(err)
		}
		if next, err := change.Apply(c, batch, c.Revision()+1); err == nil {
			c = next
		}
	}
	return c
}

// content returns the commands that make a configuration. They do not name its
// revision.
func content(c *conf.Config) string {
	lines := strings.Split(change.FormatBatch(change.Describe(c)), "\n")
	return strings.Join(lines, "\n")
}

func TestDescribeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t, "steps")
		text := content(c)
		batch, err := change.ParseBatch(text)
		if err != nil {
			t.Fatal(err)
		}
		again, err := change.Apply(&conf.Config{}, batch, c.Revision())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(text, content(again)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDiffRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawConfig(t, "from"), drawConfig(t, "to")
		batch := change.Diff(from, to)
		parsed, err := change.ParseBatch(change.FormatBatch(batch))
		if err != nil {
			t.Fatal(err)
		}
		got, err := change.Apply(from, parsed, from.Revision()+1)
		if err != nil {
			t.Fatal(err)
		}
		if rest := change.Diff(got, to); len(rest) > 0 {
			t.Error(change.FormatBatch(rest))
		}
	})
}

func TestSyntaxErrors(t *testing.T) {
	cases := map[string]struct {
		text         string
		line, column int
	}{
		"verb":                      {"grnat acme key hunter22", 1, 1},
		"grant without key word":    {"grant acme hunter22", 1, 12},
		"key with space":            {"grant acme key good-key hunter22", 1, 25},
		"withdraw without key word": {"withdraw hunter22", 1, 10},
		"rate too large":            {"add service s\nadd org a rate 1e9 burst 1", 2, 16},
		"rate not number":           {"add org a rate NaN burst 1", 1, 16},
		"negative burst":            {"add org a rate 1 burst -1", 1, 24},
		"rank":                      {"set org a rank 8", 1, 16},
		"path":                      {"add route s GET p", 1, 17},
		"undo and more":             {"undo 3 4", 1, 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := change.ParseCommand(tc.text)
			var syntaxErr *lang.SyntaxError
			if !errors.As(err, &syntaxErr) {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]int{tc.line, tc.column}, []int{syntaxErr.Line(), syntaxErr.Column()}); diff != "" {
				t.Error(diff)
			}
			if strings.Contains(err.Error(), "hunter22") {
				t.Error("the error shows a key: ", err)
			}
		})
	}
}

// TestEntryWithoutEffect takes a committed entry that does not apply. It must
// count as a revision, or no later entry could follow it; an entry that leaves a
// gap must be refused.
func TestEntryWithoutEffect(t *testing.T) {
	var history change.History
	entry := func(rev model.Revision, text string) change.Entry {
		batch, err := change.ParseChanges(text)
		if err != nil {
			t.Fatal(err)
		}
		return change.NewEntry(rev, "op", "ana", 0, batch)
	}
	if err := history.TakeEntry(entry(1, "drop org none")); !errors.Is(err, change.ErrNoEffect) {
		t.Error(err)
	}
	if err := history.TakeEntry(entry(3, "add service s")); !errors.Is(err, change.ErrGap) {
		t.Error(err)
	}
	if err := history.TakeEntry(entry(2, "add service s")); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(model.Revision(2), history.Revision()); diff != "" {
		t.Error(diff)
	}
}

func FuzzRead(f *testing.F) {
	f.Add("add org a rate 1 burst 1; grant a key 12345678")
	f.Add("undo 7")
	f.Add("add route s GET /a rank 3 # end")
	f.Fuzz(func(t *testing.T, text string) {
		command, err := change.ParseCommand(text)
		if err != nil {
			return
		}
		b, ok := command.(change.Batch)
		if !ok {
			return
		}
		again, err := change.ParseChanges(change.FormatBatch(b.Changes()))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(change.FormatBatch(b.Changes()), change.FormatBatch(again)); diff != "" {
			t.Error(diff)
		}
	})
}
