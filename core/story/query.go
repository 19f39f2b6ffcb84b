package story

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"anvilstand/core/model"
)

// Limits and thresholds.
const (
	// maxDepth is the indentation, in levels, from which calls are not followed
	// further. Each nested call adds two levels, so calls are followed 14 deep. Call
	// chains are up to 28 deep.
	maxDepth = 28
	// gapWindow is how far a report of lines left out may lie from the choice of
	// the target to explain missing lines. The two times are by the clocks of two
	// daemons, so this is a guess.
	gapWindow = 2 * time.Second
	// minFailureStatus is the lowest HTTP status of a response whose cause is
	// searched.
	minFailureStatus = 500
)

// Explain returns what became of a request, one line a step, with the calls that
// its target made if it failed, and the cause as the last line. It returns nil
// if no line is of the request.
func Explain(lines []Line, gaps []Gap, id model.Request) []string {
	b := &builder{gaps: gaps, lines: map[model.Request][]Line{}}
	for _, l := range lines {
		b.lines[l.id] = append(b.lines[l.id], l)
	}
	if len(b.lines[id]) == 0 {
		return nil
	}
	cause := b.addRequest(id, 0)
	return append(b.out, "cause: "+cause)
}

// builder collects the lines of an explanation.
type builder struct {
	lines map[model.Request][]Line // of the log, by request
	gaps  []Gap
	out   []string
}

// addRequest adds the steps of a request and returns the cause of its outcome.
func (b *builder) addRequest(id model.Request, depth int) string {
	rest := b.lines[id]
	entry := entryInstance(rest)
	cause := "the log does not say how it ended"
	for len(rest) > 0 {
		var l Line
		l, rest = takeNext(rest, entry)
		b.add(depth, l.instance, l.text)
		switch s := l.step.(type) {
		case Picked:
			if s.target != entry {
				rest = b.addAttempt(s.target, l.at, rest, depth)
			}
		case Refused:
			cause = refusalCause(l.instance, s)
		case Answered:
			cause = b.answerCause(id, s, depth)
		case Truncated:
			cause = fmt.Sprintf("the response was truncated on its way through %s", l.instance)
		case Accepted, Other:
		}
	}
	return cause
}

// entryInstance returns the instance where a request entered. Without a logged
// entry that is the instance of the first line.
func entryInstance(lines []Line) model.Instance {
	for _, l := range lines {
		if _, ok := l.step.(Accepted); ok {
			return l.instance
		}
	}
	return lines[0].instance
}

// takeNext removes the first line of an instance, or the first of all lines if
// there is none, and returns it with the remaining lines.
func takeNext(lines []Line, of model.Instance) (Line, []Line) {
	at := 0
	for i, l := range lines {
		if l.instance == of {
			at = i
			break
		}
	}
	rest := append(append([]Line{}, lines[:at]...), lines[at+1:]...)
	return lines[at], rest
}

// addAttempt adds the lines of the daemon beside a target that was chosen at a
// time, up to the end of one attempt there, and returns the remaining lines.
func (b *builder) addAttempt(target model.Instance, chosen time.Time, lines []Line, depth int) []Line {
	var rest []Line
	found, ended := false, false
	for _, l := range lines {
		if l.instance != target || ended {
			rest = append(rest, l)
			continue
		}
		found = true
		b.add(depth+1, l.instance, l.text)
		ended = endsAttempt(l.step)
	}
	if !found {
		b.add(depth+1, target, b.missingReason(target, chosen))
	}
	return rest
}

// endsAttempt reports whether a step is the last one of an attempt at a target.
func endsAttempt(s Step) bool {
	switch s.(type) {
	case Refused, Answered, Truncated:
		return true
	case Accepted, Picked, Other:
		return false
	}
	return false
}

// missingReason returns why the log of an instance may have no line of a
// request.
func (b *builder) missingReason(target model.Instance, chosen time.Time) string {
	for _, g := range b.gaps {
		if g.instance == target && g.at.Sub(chosen).Abs() < gapWindow {
			return fmt.Sprintf("no line here: %d lines were left out about then", g.lines)
		}
	}
	return "no line here: its log is missing, the request did not arrive, or the process was killed"
}

// answerCause returns the cause of a target's response, which for a failure may
// be a failed call of the target. The calls are added too.
func (b *builder) answerCause(id model.Request, a Answered, depth int) string {
	if a.status < minFailureStatus {
		return fmt.Sprintf("%s, the target answered %d", causeNone, a.status)
	}
	cause := fmt.Sprintf("the target itself answered %d", a.status)
	if depth >= maxDepth {
		return cause
	}
	first := ""
	for _, call := range b.calls(id) {
		b.out = append(b.out, strings.Repeat("  ", depth+1)+"call "+string(call)+":")
		below := b.addRequest(call, depth+2)
		if first == "" && !strings.HasPrefix(below, causeNone) && !strings.HasPrefix(below, causeCanceled) {
			first = below
		}
	}
	if first != "" {
		return fmt.Sprintf("the target answered %d after a call of its failed: %s", a.status, first)
	}
	return cause
}

// causeCanceled is the prefix of the cause of a request whose caller gave up,
// as targets do with their other calls once one has failed.
const causeCanceled = "canceled"

// causeNone is the prefix of the cause of a request that did not fail.
const causeNone = "none"

// calls returns the ids of the calls that the target made for a request, in
// order of time. It relies on the convention of many targets to append a part
// to the id of the request that they run.
func (b *builder) calls(id model.Request) []model.Request {
	var ids []model.Request
	for other := range b.lines {
		part, ok := strings.CutPrefix(string(other), string(id)+".")
		if ok && !strings.Contains(part, ".") {
			ids = append(ids, other)
		}
	}
	slices.SortFunc(ids, func(x, y model.Request) int { return b.lines[x][0].at.Compare(b.lines[y][0].at) })
	return ids
}

// add adds a line of output, indented by depth.
func (b *builder) add(depth int, i model.Instance, text string) {
	b.out = append(b.out, strings.Repeat("  ", depth)+string(i)+": "+text)
}

// refusalCause returns the cause of a refusal. The instance by is that of the daemon
// that logged the last refusal: mostly the one where the request entered, also when
// it passes on the refusal of another daemon.
func refusalCause(by model.Instance, r Refused) string {
	if r.run != model.RunName(model.NotRun{}) {
		return fmt.Sprintf("%s, seen at %s; it may have run", r.reason, by)
	}
	return fmt.Sprintf("refused at %s: %s; it did not run", by, r.reason)
}
