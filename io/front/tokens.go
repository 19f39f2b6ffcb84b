package front

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// tokenWait limits how long a request waits for the holders of its organisation's
// quota leases to answer: one of the first requests of the organisation at this
// daemon, or one of an organisation whose tokens are asked for on demand.
const tokenWait = 500 * time.Millisecond

// tokenWaiter lets requests take tokens of the organisations' rate quotas from the
// daemon's token cache, and wait for them.
type tokenWaiter struct{ core *ctrl.SharedTokenCache }

// take takes one token. It waits, at most for tokenWait, only while the cache
// refuses with NoToken: no holder of the organisation's quota leases has answered
// the last request for tokens yet. The error is a *model.Refusal.
func (w *tokenWaiter) take(ctx context.Context, org model.Org) error {
	err := w.core.Spend(org)
	if !isNoToken(err) {
		return err
	}
	timer := time.NewTimer(tokenWait)
	defer timer.Stop()
	for {
		changed := w.core.Changed(org)
		if err = w.core.SpendAgain(org); !isNoToken(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return model.Refuse(model.Canceled{}, 0)
		case <-timer.C:
			return err
		case <-changed:
		}
	}
}

func isNoToken(err error) bool {
	var r *model.Refusal
	if !errors.As(err, &r) {
		return false
	}
	_, noToken := r.Reason().(model.NoToken)
	return noToken
}
