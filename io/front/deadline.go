package front

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// Causes of a cancelled request context. Any other cause means that the caller
// went away.
var (
	errLate       = errors.New("deadline passed")
	errSilent     = errors.New("peer sent neither a response nor an interim response")
	errCallerLeft = errors.New("caller closed its connection")
	// errStopped ends the requests that a planned stop has no time left for.
	errStopped = errors.New("daemon stops")
)

// requestTimer cancels a request's context when its time is over. A deadline set
// by the caller or by the route covers the whole response. Any other covers the time
// until the response begins; after that the response only has to make progress within
// the stall time.
type requestTimer struct {
	timer          *time.Timer
	cancel         context.CancelCauseFunc
	stall          time.Duration
	coversResponse bool
}

func newRequestTimer(ctx context.Context, left, stall time.Duration, coversResponse bool) (context.Context, *requestTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &requestTimer{cancel: cancel, stall: stall, coversResponse: coversResponse}
	t.timer = time.AfterFunc(left, func() { cancel(errLate) })
	return ctx, t
}

// progressed restarts the stall time after the response made progress, unless
// the deadline covers the response.
func (t *requestTimer) progressed() {
	if !t.coversResponse {
		t.timer.Reset(t.stall)
	}
}

// stop releases the context.
func (t *requestTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// failure returns the refusal for a failed attempt. It may have run if a byte of
// the request was sent. The reason is Late or Canceled if the context was cancelled for
// that; else Broken, or if nothing was sent NoTarget or, in a stop, Leaving.
func failure(ctx context.Context, sent bool) *model.Refusal {
	reason := failureReason(ctx, sent)
	if sent {
		return model.Fail(reason)
	}
	return model.Refuse(reason, 0)
}

func failureReason(ctx context.Context, sent bool) model.Reason {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errLate):
		return model.Late{}
	case errors.Is(cause, errStopped) && !sent:
		return model.Leaving{}
	case cause != nil && !errors.Is(cause, errSilent) && !errors.Is(cause, errStopped):
		return model.Canceled{}
	case sent:
		return model.Broken{}
	}
	return model.NoTarget{}
}
