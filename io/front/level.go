package front

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"

	"anvilstand/core/admit"
	"anvilstand/core/model"
	"anvilstand/core/route"
)

// formatReport returns the text of the header Level: the place from which on
// requests are refused, the load in percent of the limit, and the limit.
func formatReport(r route.Report) string {
	return fmt.Sprintf("%d %.0f %d", r.Level(), r.Load()*100, r.Limit())
}

// takeReport reads the header Level of an answer and removes it.
func takeReport(h http.Header) (route.Report, bool) {
	var (
		level model.Place
		load  float64
		limit int
	)
	n, err := fmt.Sscanf(h.Get(headerLevel), "%d %g %d", &level, &load, &limit)
	h.Del(headerLevel)
	if err != nil || n != 3 || load < 0 || limit < 1 {
		return route.Report{}, false
	}
	return route.NewReport(min(level, model.Places), load/100, limit), true
}

// report is what this daemon tells of its target with the answer to a call.
func (f *Front) report(token string) string {
	r := f.gate.report()
	if level := f.running.level(token); level < r.Level() {
		r = route.NewReport(level, r.Load(), r.Limit())
	}
	if level := f.below.level(); level < r.Level() {
		r = route.NewReport(level, r.Load(), r.Limit())
	}
	return formatReport(r)
}

// endOf returns what an attempt says of the target it went to.
// Heard means that the target's daemon said so itself.
func endOf(ctx context.Context, err error, heard bool) route.End {
	if err == nil {
		return route.Answered{}
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errLate) {
		return route.Canceled{}
	}
	r := refusalOf(err)
	_, none := r.Reason().(model.NoTarget)
	if none && !heard {
		return route.Unreached{}
	}
	if _, unknown := r.Run().(model.MayHaveRun); unknown {
		return route.Broken{}
	}
	return route.Answered{}
}

// failureOf returns the outcome of a request to the target that got no answer.
func failureOf(ctx context.Context) admit.Outcome {
	if ctx.Err() != nil {
		return admit.Abandoned{}
	}
	return admit.Failed{}
}

// note keeps the level that a call below a request met at a service, until the
// request is answered.
func (f *flights) note(token string, s model.Service, level model.Place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, ok := f.runs[token]
	if !ok {
		return
	}
	if run.levels == nil {
		run.levels = map[model.Service]model.Place{}
	}
	run.levels[s] = level
}

// level returns the lowest level that the calls below a request met.
func (f *flights) level(token string) model.Place {
	f.mu.Lock()
	defer f.mu.Unlock()
	lowest := model.Places
	if run, ok := f.runs[token]; ok {
		for _, level := range run.levels {
			lowest = min(lowest, level)
		}
	}
	return lowest
}

// refuse notes that a call below a request was refused.
func (f *flights) refuse(token string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if run, ok := f.runs[token]; ok {
		run.refused = true
	}
}

// refused reports whether a call below a request was refused.
func (f *flights) refused(token string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, ok := f.runs[token]
	return ok && run.refused
}
