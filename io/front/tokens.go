package front

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// firstTokenWait limits how long the first request of an organisation at this
// daemon waits for the holders of its quota leases to answer.
const firstTokenWait = 500 * time.Millisecond

// tokenCache lets requests take tokens of the organisations' rate quotas.
type tokenCache struct{ core *ctrl.TokenCache }

// take takes one token. It waits only if the daemon has heard nothing yet from
// the holders of the organisation's quota leases.
func (c *tokenCache) take(ctx context.Context, org model.Org) error {
	err := c.core.Spend(org)
	if !isNoShare(err) {
		return err
	}
	timer := time.NewTimer(firstTokenWait)
	defer timer.Stop()
	for {
		changed := c.core.Changed(org)
		if err = c.core.SpendAgain(org); !isNoShare(err) {
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

func isNoShare(err error) bool {
	var r *model.Refusal
	if !errors.As(err, &r) {
		return false
	}
	_, noShare := r.Reason().(model.NoShare)
	return noShare
}
