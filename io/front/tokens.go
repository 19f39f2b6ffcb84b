package front

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// firstTokenWait bounds how long the first request of an organisation at this daemon
// waits for an answer of the holders of its titles.
const firstTokenWait = 500 * time.Millisecond

// tokenCache lets traffic goroutines spend shares.
type tokenCache struct{ cache *ctrl.Purse }

// take takes one token. Only a request of an organisation that the daemon has
// no share of yet waits for one.
func (c *tokenCache) take(ctx context.Context, org model.Org) error {
	err := c.cache.Spend(org)
	if !isNoShare(err) {
		return err
	}
	timer := time.NewTimer(firstTokenWait)
	defer timer.Stop()
	for {
		changed := c.cache.News(org)
		if err = c.cache.Again(org); !isNoShare(err) {
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
