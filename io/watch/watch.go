// Package watch keeps the store and the control state in step. What a daemon
// does there depends on the role that its control state gives it: a watcher
// follows the configuration and the records of members, and writes the record
// of its own failure domain.
package watch

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/store"
)

// Times of a daemon's dealings with the store. Each is lengthened by up to as
// much again at random, so that daemons do not call together.
const (
	// Pause is the wait after a store that did not answer.
	Pause = 200 * time.Millisecond
	// CheckEvery is the time between two reads that find what a stuck watch
	// has missed.
	CheckEvery = 1500 * time.Millisecond
	// WriteEvery is the time between two writes of the record of a domain.
	WriteEvery = time.Second
	// startSpread is the time over which the first reads of daemons that start
	// together are spread.
	startSpread = 400 * time.Millisecond
	// lookAround is how long a daemon that starts waits before it follows the
	// records of members. Until it knows the others it takes itself for a
	// watcher.
	lookAround = 600 * time.Millisecond
	// seedTime is how long a daemon waits for its seeds before it asks the
	// store.
	seedTime = 2 * time.Second
)

// EntryKey returns the key of the change that makes a revision.
func EntryKey(rev model.Revision) string { return "conf." + strconv.FormatUint(uint64(rev), 10) }

// MembersKey returns the key of the record of a failure domain's members.
func MembersKey(d model.Domain) string { return "fleet." + string(d) }

// domainsKey is the key of the list of the failure domains.
const domainsKey = "domains"

// follower is a daemon's side of the store.
type follower struct {
	store store.Store
	loop  *ctrl.Loop
}

// Follow keeps the store and the control state in step until ctx ends. With
// seeds the daemon asks its peers first and the store only when they are silent.
func Follow(ctx context.Context, s store.Store, l *ctrl.Loop, seeds bool) error {
	f := &follower{store: s, loop: l}
	f.start(ctx, seeds)
	g, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context){f.config, f.check, f.domains, f.write, f.compact} {
		g.Go(func() error {
			run(ctx)
			return nil
		})
	}
	return g.Wait()
}

// Members keeps the membership alone in step, until ctx ends. The configuration
// comes from elsewhere.
func Members(ctx context.Context, s store.Store, l *ctrl.Loop) error {
	f := &follower{store: s, loop: l}
	f.start(ctx, false)
	g, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context){f.domains, f.write} {
		g.Go(func() error {
			run(ctx)
			return nil
		})
	}
	return g.Wait()
}

// start reads the record of the own failure domain, unless peers have told it.
func (f *follower) start(ctx context.Context, seeds bool) {
	d := f.loop.View().Self().Domain()
	known := func(v *ctrl.View) bool { return v.Version(d) > 0 }
	if seeds {
		wait, stop := context.WithTimeout(ctx, seedTime)
		defer stop()
		if f.loop.Await(wait, known) == nil {
			return
		}
	}
	_ = clock.Sleep(ctx, rand.N(startSpread))
	for n := 0; ctx.Err() == nil && !known(f.loop.View()); n++ {
		if f.readRoll(ctx, d) == nil {
			return
		}
		away(ctx, n)
	}
}

func isWatcher(v *ctrl.View) bool {
	_, ok := v.Watching()
	return ok
}

// config follows the line of revisions.
func (f *follower) config(ctx context.Context) {
	var bad store.Item
	for f.loop.Await(ctx, isWatcher) == nil {
		if f.loop.View().Config().Revision() == 0 {
			if err := f.readBase(ctx); err != nil {
				pause(ctx, Pause)
				continue
			}
		}
		item, err := f.nextEntry(ctx, bad)
		if errors.Is(err, codec.ErrForm) {
			bad = item
		}
		if err != nil {
			pause(ctx, Pause)
		}
	}
}

// nextEntry waits for the next change. A value found to be bad is waited out.
func (f *follower) nextEntry(life context.Context, bad store.Item) (store.Item, error) {
	rev := f.loop.View().Config().Revision() + 1
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		over := func(v *ctrl.View) bool { return v.Config().Revision() >= rev || !isWatcher(v) }
		if f.loop.Await(ctx, over) == nil {
			cancel()
		}
		return nil
	})
	item, err := f.store.Watch(ctx, EntryKey(rev), bad.Version())
	overtaken := ctx.Err() != nil
	cancel()
	_ = g.Wait()
	if overtaken {
		return item, nil
	}
	if err != nil {
		return item, errors.Wrap(err, "watch configuration")
	}
	return item, f.learn(life, rev, item)
}

// learn takes what stands at the key of a revision.
func (f *follower) learn(ctx context.Context, rev model.Revision, item store.Item) error {
	if err := f.loop.Tell(ctx, ctrl.Reached{}); err != nil {
		return err
	}
	if item.Version() == 0 {
		return nil
	}
	e, err := codec.DecodeEntry(item.Data())
	if err == nil && e.Revision() != rev {
		err = errors.Wrap(codec.ErrForm, "revision of another key")
	}
	if err != nil {
		f.loop.Post(ctrl.Refused{})
		return errors.Wrapf(err, "read %s", EntryKey(rev))
	}
	return f.loop.Tell(ctx, ctrl.NewLearned(e))
}

// check reads the next revision now and then, in case the watch is stuck.
func (f *follower) check(ctx context.Context) {
	for f.loop.Await(ctx, isWatcher) == nil {
		pause(ctx, CheckEvery)
		rev := f.loop.View().Config().Revision() + 1
		if item, err := f.store.Get(ctx, EntryKey(rev)); err == nil {
			_ = f.learn(ctx, rev, item)
		}
	}
}

// awayDoublings is how often Pause doubles while the store does not answer.
const awayDoublings = 2

// away waits after the store has not answered for the nth time in a row,
// counted from 0.
func away(ctx context.Context, n int) { pause(ctx, Pause<<min(n, awayDoublings)) }

// pause waits for d and up to as much again.
func pause(ctx context.Context, d time.Duration) { _ = clock.Sleep(ctx, d+rand.N(d)) }
