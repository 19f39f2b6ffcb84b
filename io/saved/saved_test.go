package saved_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/story"
	"anvilstand/io/saved"
)

// TestRead reads lines as daemons and log collectors write them, and lines that
// are not of a daemon's log.
func TestRead(t *testing.T) {
	cases := map[string]struct {
		text  string
		want  []string
		other int
	}{
		"refusal": {
			text: `{"@module":"a","@timestamp":"2026-12-04T10:00:00Z","@message":"request","id":"r","step":"refuse","age":5,"reason":"shed","run":"not","wait":100}`,
			want: []string{"a: refuse reason=shed run=not wait=100", "cause: refused at a: shed; it did not run"},
		},
		"prefix of a log collector": {
			text: `  12.5 a {"@module":"a","@timestamp":"2026-12-04T10:00:00Z","@message":"request","id":"r","step":"answer","status":200}`,
			want: []string{"a: answer status=200", "cause: none, the target answered 200"},
		},
		"gap": {
			text: `{"@module":"a","@timestamp":"2026-12-04T10:00:00Z","@message":"request","id":"r","step":"pick","target":"b"}
				{"@module":"b","@timestamp":"2026-12-04T10:00:01Z","@message":"requests left out","kind":"served","lines":3}`,
			want: []string{
				"a: pick target=b", "  b: no line here: 3 lines were left out about then",
				"cause: the log does not say how it ended",
			},
		},
		"other lines": {text: "no JSON\n{\"@module\":7}\n{\n", other: 3},
		"other requests": {
			text: `{"@module":"a","@timestamp":"2026-12-04T10:00:00Z","@message":"request","id":"q","step":"accept"}`,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var log saved.Log
			if err := log.Read(strings.NewReader(tc.text)); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, story.Explain(log.Lines(), log.Gaps(), "r")); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tc.other, log.UndecodedLines()); diff != "" {
				t.Error("number of other lines: ", diff)
			}
		})
	}
}
