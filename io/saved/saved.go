// Package saved reads the logs that daemons wrote as JSON.
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

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

// Log is what was read of logs. The zero value is empty.
type Log struct {
	lines []story.Line
	gaps  []story.Gap
	other int
}

// Lines returns the decisions about requests.
func (l *Log) Lines() []story.Line { return l.lines }

// Gaps returns where daemons left lines out.
func (l *Log) Gaps() []story.Gap { return l.gaps }

// Other returns the number of lines that are no log line of a daemon.
func (l *Log) Other() int { return l.other }

// Read adds the lines of a log. What stands before a line's first brace, as some
// collectors put there, is passed over.
func (l *Log) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		if err := l.add(in.Bytes()); err != nil {
			l.other++
		}
	}
	if err := in.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

// add adds one line.
func (l *Log) add(text []byte) error {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return errors.New("no JSON")
	}
	var w struct {
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
	if err := json.Unmarshal(text[start:], &w); err != nil {
		return errors.Wrap(err, "decode log line")
	}
	instance := model.Instance(w.Module)
	switch w.Message {
	case "request":
		at := w.Timestamp.Add(-time.Duration(w.Age) * time.Millisecond)
		step := stepOf(w.Step, w.Target, w.Reason, w.Run, w.Status)
		l.lines = append(l.lines, story.NewLine(instance, at, model.Request(w.ID), step, textOf(text[start:], w.Step)))
	case "requests left out", "lines left out":
		l.gaps = append(l.gaps, story.NewGap(instance, w.Timestamp, w.Lines))
	}
	return nil
}

func stepOf(name, target, reason, run string, status int) story.Step {
	switch name {
	case "accept":
		return story.Accept{}
	case "pick":
		return story.NewPick(model.Instance(target))
	case "refuse":
		return story.NewRefuse(reason, run)
	case "answer":
		return story.NewAnswer(status)
	case "cut":
		return story.Truncated{}
	}
	return story.Other{}
}

// plain are the fields that a story has by itself.
var plain = []string{"id", "step", "age"}

// textOf returns a step with what decided it, in order of the fields' names.
func textOf(line []byte, step string) string {
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return step
	}
	var parts []string
	for name, value := range fields {
		if !strings.HasPrefix(name, "@") && !slices.Contains(plain, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(parts)
	return strings.Join(append([]string{step}, parts...), " ")
}
