package front

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// Causes of a cancelled request context, other than the caller.
var (
	errLate   = errors.New("deadline passed")
	errSilent = errors.New("peer is silent")
)

// deadline cancels a request's context when its time is over. A deadline set by
// the caller covers the whole response. Any other covers the time until the
// response begins; after that the response only has to make progress within the
// stall time.
type deadline struct {
	timer      *time.Timer
	cancel     context.CancelCauseFunc
	stall      time.Duration
	coversBody bool
}

func newDeadline(ctx context.Context, left, stall time.Duration, coversBody bool) (context.Context, *deadline) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &deadline{cancel: cancel, stall: stall, coversBody: coversBody}
	d.timer = time.AfterFunc(left, func() { cancel(errLate) })
	return ctx, d
}

// progressed restarts the stall time after the response made progress.
func (d *deadline) progressed() {
	if !d.coversBody {
		d.timer.Reset(d.stall)
	}
}

// stop releases the context.
func (d *deadline) stop() {
	d.timer.Stop()
	d.cancel(nil)
}

// failure returns the refusal for a failed attempt. The reason follows from the
// cause that cancelled the context, if any, and from whether a byte of the
// request was written.
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
	case cause != nil && !errors.Is(cause, errSilent):
		return model.Canceled{}
	case sent:
		return model.Broken{}
	}
	return model.NoTarget{}
}
