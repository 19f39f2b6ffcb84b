package watch

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/core/quota"
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
	// fewReads is how many reads that wait together are made one by one. More
	// are one call, where the store can.
	fewReads = 3
)

// sharePrefix begins the keys of the titles.
const sharePrefix = "share."

// ShareKey returns the key of an organisation's titles.
func ShareKey(org model.Org) string { return sharePrefix + string(org) }

// Shares makes the store calls of the shares until ctx ends.
func Shares(ctx context.Context, s store.Store, l *ctrl.Loop) error {
	g := &errgroup.Group{}
	g.SetLimit(shareCalls)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case a := <-l.Calls():
			makeCalls(ctx, g, s, l, a)
		}
	}
}

// makeCalls makes a call and those that wait behind it.
func makeCalls(ctx context.Context, g *errgroup.Group, s store.Store, l *ctrl.Loop, a quota.Action) {
	reads, others := split(a, l.Calls())
	if lister, ok := s.(store.Lister); ok && len(reads) > fewReads {
		g.Go(func() error {
			readAll(ctx, lister, l, reads)
			return nil
		})
	} else {
		for _, r := range reads {
			others = append(others, r)
		}
	}
	for _, a := range others {
		g.Go(func() error {
			if c := shareCall(ctx, s, a); c != nil {
				_ = l.Tell(ctx, c)
			}
			return nil
		})
	}
}

// split takes the calls that wait behind one, the reads apart. Nobody else takes
// calls from the channel.
func split(first quota.Action, more <-chan quota.Action) (reads []quota.Read, others []quota.Action) {
	all := []quota.Action{first}
	for range len(more) {
		all = append(all, <-more)
	}
	for _, a := range all {
		if r, ok := a.(quota.Read); ok {
			reads = append(reads, r)
		} else {
			others = append(others, a)
		}
	}
	return reads, others
}

// readAll makes many reads by one call.
func readAll(ctx context.Context, s store.Lister, l *ctrl.Loop, reads []quota.Read) {
	wait, cancel := context.WithTimeout(ctx, shareWait)
	defer cancel()
	items, err := s.List(wait, sharePrefix)
	for _, r := range reads {
		if err != nil {
			_ = l.Tell(ctx, ctrl.NewSettled(r.Org(), r.Op(), quota.NoAnswer{}))
			continue
		}
		_ = l.Tell(ctx, titlesOf(r, items[ShareKey(r.Org())]))
	}
}

func shareCall(ctx context.Context, s store.Store, a quota.Action) ctrl.Command {
	ctx, cancel := context.WithTimeout(ctx, shareWait)
	defer cancel()
	switch a := a.(type) {
	case quota.Read:
		return readTitles(ctx, s, a)
	case quota.Swap:
		return ctrl.NewSettled(a.Org(), a.Op(), swapTitles(ctx, s, a))
	case quota.Send, quota.AddBatch, quota.MarkExhausted:
		return nil
	}
	return nil
}

func readTitles(ctx context.Context, s store.Store, a quota.Read) ctrl.Command {
	item, err := s.Get(ctx, ShareKey(a.Org()))
	if err != nil {
		return ctrl.NewSettled(a.Org(), a.Op(), quota.NoAnswer{})
	}
	return titlesOf(a, item)
}

// titlesOf returns the answer to a read.
func titlesOf(a quota.Read, item store.Item) ctrl.Command {
	if item.Version() == 0 {
		return ctrl.NewRecorded(a.Org(), a.Op(), 0, quota.Record{})
	}
	r, err := codec.DecodeRecord(item.Data())
	if err != nil {
		return ctrl.NewSettled(a.Org(), a.Op(), quota.NoAnswer{})
	}
	return ctrl.NewRecorded(a.Org(), a.Op(), item.Version(), r)
}

func swapTitles(ctx context.Context, s store.Store, a quota.Swap) quota.Outcome {
	data, err := codec.EncodeRecord(a.Record())
	if err != nil {
		return quota.Conflict{}
	}
	version, err := s.Swap(ctx, ShareKey(a.Org()), a.Version(), data, 0)
	if errors.Is(err, store.ErrConflict) {
		return quota.Conflict{}
	}
	if err != nil {
		return quota.NoAnswer{}
	}
	return quota.NewSwapped(version)
}
