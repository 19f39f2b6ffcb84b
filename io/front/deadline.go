package front

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// Causes by which a request's context ends, besides its caller.
var (
	errLate   = errors.New("deadline passed")
	errSilent = errors.New("peer is silent")
)

// deadline ends a request's context at its deadline. A deadline that the caller
// set covers the whole answer. Any other covers the time until the answer
// begins; after that the answer has to make progress.
type deadline struct {
	timer       *time.Timer
	cancelCause context.CancelCauseFunc
	stall       time.Duration
	coversBody  bool
}

func newDeadline(ctx context.Context, left, stall time.Duration, firm bool) (context.Context, *deadline) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &deadline{cancelCause: cancel, stall: stall, coversBody: firm}
	d.timer = time.AfterFunc(left, func() { cancel(errLate) })
	return ctx, d
}

// progressed notes that the answer made progress.
func (d *deadline) progressed() {
	if !d.coversBody {
		d.timer.Reset(d.stall)
	}
}

// stop releases the context.
func (d *deadline) stop() {
	d.timer.Stop()
	d.cancelCause(nil)
}

// failure returns the refusal for an attempt that failed: by its context when
// that has ended, and whether a byte of the request was written.
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
