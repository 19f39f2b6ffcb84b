package front

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"anvilstand/core/model"
	"anvilstand/core/trace"
)

// notes lets traffic goroutines share what is remembered of requests: the
// newest steps for the operators' queries, and the stories of those under way
// for the log.
type notes struct {
	mu      sync.Mutex
	ring    trace.Ring
	stories trace.Stories
	log     hclog.Logger
	served  quota
	failed  quota
}

// Lines a second that tell of requests. Those of requests that end badly have
// a bound of their own, so that under overload they are told first.
const (
	servedLines = 20
	failedLines = 100
)

// quota bounds lines a second. What it leaves out is counted.
type quota struct {
	window model.Instant
	lines  int
	out    int
}

// quotaTime is the time over which lines are bounded.
const quotaTime = time.Second

// take reports whether n more lines may be written. With a new window it gives
// out how many were left out in the last one.
func (q *quota) take(now model.Instant, n, most int, out *int) bool {
	if now.Sub(q.window) >= quotaTime {
		*out = q.out
		q.window, q.lines, q.out = now, 0, 0
	}
	if q.lines >= most {
		q.out += n
		return false
	}
	q.lines += n
	return true
}

// open begins the story of a call at this daemon.
func (f *Front) open(id model.Request) {
	f.notes.mu.Lock()
	defer f.notes.mu.Unlock()
	f.notes.stories.Begin(id)
}

// note remembers a decision about a call.
func (f *Front) note(call model.Call, s trace.Step) {
	now := f.clock.Now()
	f.notes.mu.Lock()
	defer f.notes.mu.Unlock()
	f.notes.ring.Add(now, call.ID(), s)
	f.notes.stories.Add(now, call.ID(), s)
}

// close ends the story of a call at this daemon and writes it to the log, as
// far as the bound on lines goes.
func (f *Front) close(id model.Request) {
	now := f.clock.Now()
	var told []trace.Told
	var out int
	f.notes.mu.Lock()
	bad := f.notes.stories.End(id, &told)
	q, most, kind := &f.notes.served, servedLines, "served"
	if bad {
		q, most, kind = &f.notes.failed, failedLines, "failed"
	}
	ok := len(told) > 0 && q.take(now, len(told), most, &out)
	f.notes.mu.Unlock()
	if out > 0 {
		f.notes.log.Warn("requests left out", "kind", kind, "lines", out)
	}
	if ok {
		f.tell(now, id, told)
	}
}

// tell writes the steps of a request. Each line has the step's age.
func (f *Front) tell(now model.Instant, id model.Request, told []trace.Told) {
	revision := uint64(f.loop.View().Config().Revision())
	for _, t := range told {
		args := append([]any{"id", id, "step", trace.Name(t.Step()), "age", now.Sub(t.At()).Milliseconds(), "revision", revision}, trace.Fields(t.Step())...)
		f.notes.log.Info("request", args...)
	}
}

// Trace returns what this daemon decided about a request, a line a step.
func (f *Front) Trace(id model.Request) []string {
	f.notes.mu.Lock()
	defer f.notes.mu.Unlock()
	return f.notes.ring.Lines(id)
}
