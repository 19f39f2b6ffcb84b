package story_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/model"
	"anvilstand/core/story"
)

// at returns the time ms milliseconds after the epoch.
func at(ms int64) time.Time { return time.UnixMilli(ms) }

func line(i model.Instance, ms int64, id model.Request, s story.Step, text string) story.Line {
	return story.NewLine(i, at(ms), id, s, text)
}

func TestExplain(t *testing.T) {
	// The clock of b is ten seconds behind, so that sorting by time would put its
	// steps first.
	const behind = -10_000
	cases := map[string]struct {
		lines []story.Line
		gaps  []story.Gap
		want  []string
	}{
		"no lines": {},
		"refused at its entry": {
			lines: []story.Line{line("a", 0, "r", story.NewRefused("overrate", "not"), "refuse overrate")},
			want:  []string{"a: refuse overrate", "cause: refused at a: overrate; it did not run"},
		},
		"retried at another target": {
			lines: []story.Line{
				line("b", behind, "r", story.NewRefused("queuefull", "not"), "refuse queuefull"),
				line("a", 0, "r", story.Accepted{}, "accept"),
				line("a", 1, "r", story.NewPicked("b"), "pick b"),
				line("a", 2, "r", story.NewRefused("queuefull", "not"), "refuse queuefull"),
				line("a", 3, "r", story.Other{}, "retry"),
				line("a", 4, "r", story.NewPicked("c"), "pick c"),
				line("a", 5, "r", story.NewAnswered(200), "answer 200"),
				line("c", 4, "r", story.Other{}, "admit"),
				line("c", 5, "r", story.NewAnswered(200), "answer 200"),
			},
			want: []string{
				"a: accept", "a: pick b", "  b: refuse queuefull", "a: refuse queuefull", "a: retry",
				"a: pick c", "  c: admit", "  c: answer 200", "a: answer 200",
				"cause: none, the target answered 200",
			},
		},
		"retried at the same target": {
			lines: []story.Line{
				line("a", 0, "r", story.Accepted{}, "accept"),
				line("a", 1, "r", story.NewPicked("b"), "pick b"),
				line("a", 2, "r", story.NewPicked("b"), "pick b again"),
				line("a", 3, "r", story.Truncated{}, "cut"),
				line("b", behind, "r", story.NewRefused("leaving", "not"), "refuse leaving"),
				line("b", behind+1, "r", story.NewAnswered(200), "answer 200"),
			},
			want: []string{
				"a: accept", "a: pick b", "  b: refuse leaving", "a: pick b again", "  b: answer 200", "a: cut",
				"cause: the response was truncated on its way through a",
			},
		},
		"may have run, no line of the target's daemon": {
			lines: []story.Line{
				line("a", 0, "r", story.NewPicked("b"), "pick b"),
				line("a", 1, "r", story.NewRefused("broken", "unknown"), "refuse broken"),
			},
			want: []string{
				"a: pick b",
				"  b: no line here: its log is missing, the request did not arrive, or the process was killed",
				"a: refuse broken", "cause: broken, seen at a; it may have run",
			},
		},
		"lines left out of the log": {
			lines: []story.Line{
				line("a", 0, "r", story.NewPicked("b"), "pick b"),
				line("a", 1, "r", story.NewAnswered(500), "answer 500"),
			},
			gaps: []story.Gap{story.NewGap("b", at(900), 12)},
			want: []string{
				"a: pick b", "  b: no line here: 12 lines were left out about then", "a: answer 500",
				"cause: the target itself answered 500",
			},
		},
		"one call failed, another canceled": {
			lines: []story.Line{
				line("a", 0, "r", story.NewAnswered(500), "answer 500"),
				line("a", 1, "r.2", story.NewRefused("canceled", "unknown"), "refuse canceled"),
				line("a", 2, "r.1", story.NewRefused("shed", "not"), "refuse shed"),
				line("a", 3, "r.3", story.NewAnswered(200), "answer 200"),
				line("a", 4, "r.1.1", story.NewRefused("late", "not"), "nested call"),
			},
			want: []string{
				"a: answer 500", "  call r.2:", "    a: refuse canceled", "  call r.1:", "    a: refuse shed",
				"  call r.3:", "    a: answer 200",
				"cause: the target answered 500 after a call of its failed: refused at a: shed; it did not run",
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, story.Explain(tc.lines, tc.gaps, "r")); diff != "" {
				t.Error(diff)
			}
		})
	}
}
