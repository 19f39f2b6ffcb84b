package front

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// firstWait bounds how long the first request of an organisation at this daemon
// waits for an answer of the holders of its titles.
const firstWait = 500 * time.Millisecond

// purse lets traffic goroutines spend shares.
type purse struct{ tokens *ctrl.Purse }

// spend takes one token. Only a request of an organisation that the daemon has
// no share of yet waits for one.
func (p *purse) spend(ctx context.Context, org model.Org) error {
	err := p.tokens.Spend(org)
	if !isFirst(err) {
		return err
	}
	t := time.NewTimer(firstWait)
	defer t.Stop()
	for {
		news := p.tokens.News(org)
		if err = p.tokens.Again(org); !isFirst(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return model.Refuse(model.Canceled{}, 0)
		case <-t.C:
			return err
		case <-news:
		}
	}
}

func isFirst(err error) bool {
	var r *model.Refusal
	if !errors.As(err, &r) {
		return false
	}
	_, first := r.Reason().(model.NoShare)
	return first
}
