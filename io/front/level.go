package front

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/admit"
	"anvilstand/core/model"
	"anvilstand/core/route"
)

// formatReport returns the value of the header Level: the admission level, which
// is the lowest position that is shed, the load in percent of the limit, the limit, and
// the expected time until an answer in ms, if it is known.
func formatReport(r route.Report) string {
	b := strconv.AppendUint(make([]byte, 0, reportBytes), uint64(r.Level()), 10)
	b = strconv.AppendFloat(append(b, ' '), r.Load()*100, 'f', 0, 64)
	b = strconv.AppendInt(append(b, ' '), int64(r.Limit()), 10)
	if r.Expected() > 0 {
		b = strconv.AppendInt(append(b, ' '), max(1, r.Expected().Milliseconds()), 10)
	}
	return string(b)
}

// reportBytes is the initial capacity of the buffer for a report, in bytes.
const reportBytes = 32

// maxExpectedMs bounds the expected time in a report, in milliseconds.
const maxExpectedMs = 1 << 20

// popReport reads the header Level of a response and removes it. It returns false
// if there is none or it is malformed.
func popReport(h http.Header) (route.Report, bool) {
	values := h[headerLevel]
	if len(values) == 0 {
		return route.Report{}, false
	}
	delete(h, headerLevel)
	levelText, rest, _ := strings.Cut(values[0], " ")
	loadText, rest, _ := strings.Cut(rest, " ")
	limitText, expectedText, _ := strings.Cut(rest, " ")
	level, errLevel := strconv.ParseUint(levelText, 10, 16)
	load, errLoad := strconv.ParseFloat(loadText, 64)
	limit, errLimit := strconv.ParseInt(limitText, 10, 32)
	if errLevel != nil || errLoad != nil || errLimit != nil || !(load >= 0 && load <= math.MaxFloat32) || limit < 1 {
		return route.Report{}, false
	}
	r := route.NewReport(min(model.Position(level), model.PositionCount), load/100, int(limit))
	return r.WithExpected(parseExpected(expectedText)), true
}

// parseExpected returns the expected time in a report, zero if it is missing or
// malformed.
func parseExpected(text string) time.Duration {
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms > maxExpectedMs {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// levelHeader returns the value of the header Level for a response to the call
// with this token. The level is the lowest of the target's own and those that its
// downstream calls met.
func (f *Front) levelHeader(token string) string {
	r := f.admission.report()
	level := min(f.running.lowestLevel(token), f.downstream.level())
	return formatReport(r.WithMaxLevel(level))
}

// attemptOutcome returns what an attempt tells about its target.
// fromTargetDaemon means that the daemon beside the target decided its outcome.
func attemptOutcome(ctx context.Context, err error, fromTargetDaemon bool) route.Outcome {
	if err == nil {
		return route.Answered{}
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errLate) {
		return route.Canceled{}
	}
	r := refusalOf(err)
	_, noTarget := r.Reason().(model.NoTarget)
	if noTarget && !fromTargetDaemon {
		return route.Unreached{}
	}
	if _, mayHaveRun := r.Run().(model.MayHaveRun); mayHaveRun {
		return route.Broken{}
	}
	if isLostConnection(r) && !fromTargetDaemon {
		return route.Canceled{}
	}
	return route.Answered{}
}

// failureOutcome returns the outcome of a request to the target that got no
// response, because of err.
func failureOutcome(ctx context.Context, err error) admit.Outcome {
	if ctx.Err() != nil {
		return admit.Abandoned{}.AsRunning()
	}
	if isLostConnection(refusalOf(err)) {
		return admit.Abandoned{}
	}
	return admit.Failed{}
}

// isLostConnection reports whether nothing was sent because a kept connection was lost.
func isLostConnection(r *model.Refusal) bool {
	_, broken := r.Reason().(model.Broken)
	_, notRun := r.Run().(model.NotRun)
	return broken && notRun
}

// noteLevel records the level that a downstream call of a running request met
// at a service.
func (r *runningRequests) noteLevel(token string, s model.Service, level model.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req, ok := r.byToken[token]
	if !ok {
		return
	}
	if req.levels == nil {
		req.levels = map[model.Service]model.Position{}
	}
	req.levels[s] = level
}

// lowestLevel returns the lowest level that the downstream calls of a request
// met.
func (r *runningRequests) lowestLevel(token string) model.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	lowest := model.PositionCount
	if req, ok := r.byToken[token]; ok {
		for _, level := range req.levels {
			lowest = min(lowest, level)
		}
	}
	return lowest
}

// noteRefusal records that a downstream call of a request was refused or failed.
func (r *runningRequests) noteRefusal(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req, ok := r.byToken[token]; ok {
		req.refused = true
	}
}

// sawRefusal reports whether a downstream call of a request was refused or failed.
func (r *runningRequests) sawRefusal(token string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	req, ok := r.byToken[token]
	return ok && req.refused
}
