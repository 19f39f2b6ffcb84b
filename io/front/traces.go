package front

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"anvilstand/core/model"
	"anvilstand/core/trace"
)

// traces lets traffic goroutines share what is remembered of requests: the
// newest steps for the operators' queries, and the stories of those under way
// for the log.
type traces struct {
	mu          sync.Mutex
	ring        trace.Ring
	stories     trace.Stories
	log         hclog.Logger
	servedLines lineLimiter
	failedLines lineLimiter
}

// Lines a second that tell of requests. Those of requests that end badly have
// a bound of their own, so that under overload they are told first.
const (
	maxServedLines = 20
	maxFailedLines = 100
)

// lineLimiter bounds lines a second. What it leaves out is counted.
type lineLimiter struct {
	window  model.Instant
	lines   int
	omitted int
}

// lineWindow is the time over which lines are bounded.
const lineWindow = time.Second

// allow reports whether n more lines may be written. With a new window it gives
// out how many were left out in the last one.
func (q *lineLimiter) allow(now model.Instant, n, limit int, omitted *int) bool {
	if now.Sub(q.window) >= lineWindow {
		*omitted = q.omitted
		q.window, q.lines, q.omitted = now, 0, 0
	}
	if q.lines >= limit {
		q.omitted += n
		return false
	}
	q.lines += n
	return true
}

// beginTrace begins the story of a call at this daemon.
func (f *Front) beginTrace(id model.Request) {
	f.traces.mu.Lock()
	defer f.traces.mu.Unlock()
	f.traces.stories.Begin(id)
}

// traceStep remembers a decision about a call.
func (f *Front) traceStep(call model.Call, s trace.Step) {
	now := f.clock.Now()
	f.traces.mu.Lock()
	defer f.traces.mu.Unlock()
	f.traces.ring.Add(now, call.ID(), s)
	f.traces.stories.Add(now, call.ID(), s)
}

// close ends the story of a call at this daemon and writes it to the log, as
// far as the bound on lines goes.
func (f *Front) close(id model.Request) {
	now := f.clock.Now()
	var steps []trace.Told
	var omitted int
	f.traces.mu.Lock()
	failed := f.traces.stories.End(id, &steps)
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

// logSteps writes the steps of a request. Each line has the step's age.
func (f *Front) logSteps(now model.Instant, id model.Request, steps []trace.Told) {
	revision := uint64(f.loop.View().Config().Revision())
	for _, s := range steps {
		args := append([]any{"id", id, "step", trace.Name(s.Step()), "age", now.Sub(s.At()).Milliseconds(), "revision", revision}, trace.Fields(s.Step())...)
		f.traces.log.Info("request", args...)
	}
}

// Trace returns what this daemon decided about a request, a line a step.
func (f *Front) Trace(id model.Request) []string {
	f.traces.mu.Lock()
	defer f.traces.mu.Unlock()
	return f.traces.ring.Lines(id)
}
