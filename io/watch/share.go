package watch

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/core/share"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/store"
)

// Bounds of the store calls for shares.
const (
	// shareCalls is how many run at a time.
	shareCalls = 8
	// shareWait is how long one may take.
	shareWait = 2 * time.Second
)

// ShareKey returns the key of an organisation's titles.
func ShareKey(org model.Org) string { return "share." + string(org) }

// Shares makes the store calls of the shares until ctx ends.
func Shares(ctx context.Context, s store.Store, l *ctrl.Loop) error {
	g := &errgroup.Group{}
	g.SetLimit(shareCalls)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case a := <-l.Calls():
			g.Go(func() error {
				if c := shareCall(ctx, s, a); c != nil {
					_ = l.Tell(ctx, c)
				}
				return nil
			})
		}
	}
}

func shareCall(ctx context.Context, s store.Store, a share.Action) ctrl.Command {
	ctx, cancel := context.WithTimeout(ctx, shareWait)
	defer cancel()
	switch a := a.(type) {
	case share.Read:
		return readTitles(ctx, s, a)
	case share.Swap:
		return ctrl.NewSettled(a.Org(), a.Op(), swapTitles(ctx, s, a))
	case share.Send, share.Credit, share.Dry:
		return nil
	}
	return nil
}

func readTitles(ctx context.Context, s store.Store, a share.Read) ctrl.Command {
	item, err := s.Get(ctx, ShareKey(a.Org()))
	if err != nil {
		return ctrl.NewSettled(a.Org(), a.Op(), share.Lost{})
	}
	if item.Version() == 0 {
		return ctrl.NewRecorded(a.Org(), a.Op(), 0, share.Record{})
	}
	r, err := codec.DecodeRecord(item.Data())
	if err != nil {
		return ctrl.NewSettled(a.Org(), a.Op(), share.Lost{})
	}
	return ctrl.NewRecorded(a.Org(), a.Op(), item.Version(), r)
}

func swapTitles(ctx context.Context, s store.Store, a share.Swap) share.Outcome {
	data, err := codec.EncodeRecord(a.Record())
	if err != nil {
		return share.Stale{}
	}
	version, err := s.Swap(ctx, ShareKey(a.Org()), a.Version(), data, 0)
	if errors.Is(err, store.ErrConflict) {
		return share.Stale{}
	}
	if err != nil {
		return share.Lost{}
	}
	return share.NewDone(version)
}
