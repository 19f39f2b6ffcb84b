// Package saved reads the JSON logs of daemons for the explanation of a request. It
// decides which lines are steps of requests and which report left-out lines; package
// story decides their order and the cause.
package saved

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/core/story"
)

// maxLine is the length of the longest line, in bytes. A longer one ends the
// reading with an error.
const maxLine = 1 << 20

// Log contains the lines of one or several logs. The zero value is empty.
type Log struct {
	lines     []story.Line
	gaps      []story.Gap
	undecoded int
}

// Lines returns the logged steps of requests.
func (l *Log) Lines() []story.Line { return l.lines }

// Gaps returns the reports of daemons that they left lines out. A report of package
// logs ("lines left out") names neither daemon nor time; its field count is not
// read, so its number is zero.
func (l *Log) Gaps() []story.Gap { return l.gaps }

// UndecodedLines returns the number of lines that could not be decoded. Decoded lines with
// other messages are not counted.
func (l *Log) UndecodedLines() int { return l.undecoded }

// Read adds the lines of a log. It skips the text before the first brace of a
// line, which some log collectors add.
func (l *Log) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		if err := l.add(in.Bytes()); err != nil {
			l.undecoded++
		}
	}
	if err := in.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

// add adds a line. Lines with messages of other kinds are ignored.
func (l *Log) add(text []byte) error {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return errors.New("log line without a JSON object")
	}
	var line struct {
		Module    string    `json:"@module"`
		Timestamp time.Time `json:"@timestamp"`
		Message   string    `json:"@message"`
		ID        string    `json:"id"`
		Step      string    `json:"step"`
		Age       int64     `json:"age"`
		Target    string    `json:"target"`
		Reason    string    `json:"reason"`
		Run       string    `json:"run"`
		Status    int       `json:"status"`
		Lines     int       `json:"lines"`
	}
	if err := json.Unmarshal(text[start:], &line); err != nil {
		return errors.Wrap(err, "decode log line")
	}
	instance := model.Instance(line.Module)
	switch line.Message {
	case "request":
		at := line.Timestamp.Add(-time.Duration(line.Age) * time.Millisecond)
		step := stepOf(line.Step, line.Target, line.Reason, line.Run, line.Status)
		l.lines = append(l.lines, story.NewLine(instance, at, model.Request(line.ID), step, textOf(text[start:], line.Step)))
	case "requests left out", "lines left out":
		l.gaps = append(l.gaps, story.NewGap(instance, line.Timestamp, line.Lines))
	}
	return nil
}

// stepOf returns the step with a name in the log, as trace.StepName writes it.
func stepOf(name, target, reason, run string, status int) story.Step {
	switch name {
	case "accept":
		return story.Accepted{}
	case "pick":
		return story.NewPicked(model.Instance(target))
	case "refuse":
		return story.NewRefused(reason, run)
	case "answer":
		return story.NewAnswered(status)
	case "cut":
		return story.Truncated{}
	}
	return story.Other{}
}

// shownFields are the fields that an explanation has apart from the text of a
// step.
var shownFields = []string{"id", "step", "age"}

// textOf returns a step with the other fields of its line, sorted by name.
func textOf(text []byte, step string) string {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return step
	}
	var parts []string
	for name, value := range fields {
		if !strings.HasPrefix(name, "@") && !slices.Contains(shownFields, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(parts)
	return strings.Join(append([]string{step}, parts...), " ")
}
