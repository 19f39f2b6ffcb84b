package front

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"anvilstand/core/model"
	"anvilstand/core/trace"
)

// traces records the steps of requests (package trace): the most recent ones for
// the operators' queries, and those of requests in progress for the log.
type traces struct {
	mu          sync.Mutex
	recent      trace.Ring
	inProgress  trace.InProgress
	log         hclog.Logger
	servedLines lineLimiter
	failedLines lineLimiter
}

// Limits of log lines about requests, in lines a second. Requests with a step that
// shows a failure, also one that a retry made good, have a limit of their own, so
// that they are still logged under overload.
const (
	maxServedLines = 20
	maxFailedLines = 100
)

// lineLimiter limits log lines a second, counted in fixed windows, and counts those
// that it omits. It never splits a request: the last one allowed in a window may
// exceed the limit.
type lineLimiter struct {
	windowStart model.Instant
	lines       int
	omitted     int
}

// lineWindow is the length of the windows.
const lineWindow = time.Second

// allow reports whether n more lines may be written. When a new window begins it
// sets omitted to the number of lines omitted in the one before. Windows begin
// with a request, so omitted lines are reported with the next request of the kind.
func (l *lineLimiter) allow(now model.Instant, n, limit int, omitted *int) bool {
	if now.Sub(l.windowStart) >= lineWindow {
		*omitted = l.omitted
		l.windowStart, l.lines, l.omitted = now, 0, 0
	}
	if l.lines >= limit {
		l.omitted += n
		return false
	}
	l.lines += n
	return true
}

// beginTrace starts collecting the steps of a request for the log. The trace is
// ended by Front.close.
func (f *Front) beginTrace(id model.Request) {
	f.traces.mu.Lock()
	defer f.traces.mu.Unlock()
	f.traces.inProgress.Begin(id)
}

// traceStep records a step of a request.
func (f *Front) traceStep(call model.Call, s trace.Step) {
	now := f.clock.Now()
	f.traces.mu.Lock()
	defer f.traces.mu.Unlock()
	f.traces.recent.Add(now, call.ID(), s)
	f.traces.inProgress.Add(now, call.ID(), s)
}

// close ends the trace of a request at this daemon and logs its steps if the line
// limit allows. The kind "failed" is that of a request with a step that shows a
// failure, whatever its end. "requests left out" counts lines.
func (f *Front) close(id model.Request) {
	now := f.clock.Now()
	var steps []trace.TimedStep
	var omitted int
	f.traces.mu.Lock()
	failed := f.traces.inProgress.End(id, &steps)
	limiter, limit, kind := &f.traces.servedLines, maxServedLines, "served"
	if failed {
		limiter, limit, kind = &f.traces.failedLines, maxFailedLines, "failed"
	}
	ok := len(steps) > 0 && limiter.allow(now, len(steps), limit, &omitted)
	f.traces.mu.Unlock()
	if omitted > 0 {
		f.traces.log.Warn("requests left out", "kind", kind, "lines", omitted)
	}
	if ok {
		f.logSteps(now, id, steps)
	}
}

// logSteps logs the steps of a request, each with its age in milliseconds. The
// revision is the one in force now, which may be newer than at the step.
func (f *Front) logSteps(now model.Instant, id model.Request, steps []trace.TimedStep) {
	revision := uint64(f.loop.View().Config().Revision())
	for _, s := range steps {
		args := append([]any{"id", id, "step", trace.StepName(s.Step()), "age", now.Sub(s.At()).Milliseconds(), "revision", revision}, trace.Fields(s.Step())...)
		f.traces.log.Info("request", args...)
	}
}

// Trace returns the steps of a request that this daemon still has in memory, one a
// line.
func (f *Front) Trace(id model.Request) []string {
	f.traces.mu.Lock()
	defer f.traces.mu.Unlock()
	return f.traces.recent.Lines(id)
}
