// Package watch reads and writes a daemon's keys in the key-value store: it passes
// stored values to the control loop and writes what the control loop wants
// stored. A daemon that its control state makes a watcher follows the
// configuration (conf.REVISION, snapshots at base) and the member lists
// (fleet.DOMAIN, domains), and writes the member list of its own failure domain.
// Every daemon makes the store calls for its quota leases (share.ORG), and records
// the stops of its target (stops.DOMAIN). The package decides when a call is made and
// repeated; what is written is decided in core/gossip, core/quota, core/life and
// io/oper.
package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/store"
)

// Intervals of store calls. RetryDelay, PollInterval and WriteInterval are
// lengthened at random to up to twice the value, so that daemons do not call
// the store at the same time.
const (
	// RetryDelay is the wait before a call that failed is repeated.
	RetryDelay = 200 * time.Millisecond
	// PollInterval is the time between two reads of the next configuration
	// entry. They find an entry that a stuck watch has missed.
	PollInterval = 1500 * time.Millisecond
	// WriteInterval is the time between two writes of a member list.
	WriteInterval = time.Second
	// firstWriteInterval is the same after the first write of a process. It doubles with
	// each write up to WriteInterval: members that start together are listed soon.
	firstWriteInterval = 200 * time.Millisecond
	// startJitter is the upper bound of the wait before the first read, so that
	// daemons that start together do not read at the same time.
	startJitter = 400 * time.Millisecond
	// followDelay is how long a daemon waits after its start before it follows
	// the member lists, unless its domain's list shows it among the first. Until it
	// knows other members it counts itself as a watcher, and all daemons of a starting
	// fleet would follow them.
	followDelay = 600 * time.Millisecond
	// seedTimeout is how long a daemon waits for an answer of its seeds before
	// it reads the store.
	seedTimeout = 2 * time.Second
)

// domainsKey is the key of the list of all failure domains.
const domainsKey = "domains"

// syncer moves values between the store and a control loop.
type syncer struct {
	store store.Store
	loop  *ctrl.Loop
}

// Sync keeps configuration and membership of the control loop in step with
// the store until ctx ends. With seeds, it first waits up to seedTimeout for
// peers to send the member list of the own failure domain, and reads the store
// only when they did not. It returns nil.
func Sync(ctx context.Context, s store.Store, l *ctrl.Loop, seeds bool) error {
	sy := &syncer{store: s, loop: l}
	sy.loadOwnMemberList(ctx, seeds)
	g, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context){sy.followConfig, sy.pollConfig, sy.followMemberLists, sy.writeOwnMemberList, sy.writeSnapshots, sy.writeEra} {
		g.Go(func() error {
			run(ctx)
			return nil
		})
	}
	return g.Wait()
}

// SyncMembers keeps only the membership in step with the store until ctx ends, for
// a daemon whose configuration comes from elsewhere. It returns nil.
func SyncMembers(ctx context.Context, s store.Store, l *ctrl.Loop) error {
	sy := &syncer{store: s, loop: l}
	sy.loadOwnMemberList(ctx, false)
	g, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context){sy.followMemberLists, sy.writeOwnMemberList, sy.writeEra} {
		g.Go(func() error {
			run(ctx)
			return nil
		})
	}
	return g.Wait()
}

// loadOwnMemberList reads the member list of the own failure domain, unless
// peers send it first.
func (sy *syncer) loadOwnMemberList(ctx context.Context, seeds bool) {
	domain := sy.loop.View().Self().Domain()
	known := func(v *ctrl.View) bool { return v.MemberListVersion(domain) > 0 }
	if seeds {
		seedCtx, cancel := context.WithTimeout(ctx, seedTimeout)
		defer cancel()
		if sy.loop.Await(seedCtx, known) == nil {
			return
		}
	}
	// The first in rendezvous order read and write first, so that the others find them
	// listed and do not write too. The list is not taken from the prefetch: when all daemons
	// restart, that is from before the first ones have written, so that all would know only
	// processes that have ended.
	_ = clock.Sleep(ctx, time.Duration(sy.loop.View().Self().RendezvousFraction()*float64(startJitter)))
	for failures := 0; ctx.Err() == nil && !known(sy.loop.View()); failures++ {
		if sy.readMemberList(ctx, domain) == nil {
			return
		}
		backOff(ctx, failures)
	}
}

func isWatcher(v *ctrl.View) bool {
	_, ok := v.WatcherIndex()
	return ok
}

// followConfig takes one configuration entry after the other while the daemon
// is a watcher, starting from the newest snapshot in the store.
func (sy *syncer) followConfig(ctx context.Context) {
	var corrupt store.Item
	for sy.loop.Await(ctx, isWatcher) == nil {
		if sy.loop.View().Config().Revision() == 0 {
			if err := sy.readSnapshot(ctx); err != nil {
				sleepJittered(ctx, RetryDelay)
				continue
			}
		}
		item, err := sy.nextEntry(ctx, corrupt)
		if errors.Is(err, codec.ErrMalformed) {
			corrupt = item
		}
		if err != nil {
			sleepJittered(ctx, RetryDelay)
		}
	}
}

// nextEntry waits for the entry that makes the next revision and hands it to
// the control loop. It returns early when the revision came from a peer or the
// daemon is no watcher any more. corrupt is the value of an entry that failed
// to decode; nextEntry waits until it has been replaced.
func (sy *syncer) nextEntry(parent context.Context, corrupt store.Item) (store.Item, error) {
	rev := sy.loop.View().Config().Revision() + 1
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		superseded := func(v *ctrl.View) bool { return v.Config().Revision() >= rev || !isWatcher(v) }
		if sy.loop.Await(ctx, superseded) == nil {
			cancel()
		}
		return nil
	})
	item, err := sy.store.Watch(ctx, EntryKey(rev), corrupt.Version())
	canceled := ctx.Err() != nil
	cancel()
	_ = g.Wait()
	if canceled {
		return item, nil
	}
	if err != nil {
		return item, errors.Wrap(err, "watch configuration")
	}
	return item, sy.handleEntry(parent, rev, item)
}

// handleEntry hands the value at the key of a revision to the control loop, after
// it reported that the store answered. A key that does not exist yet is no error.
// The error wraps codec.ErrMalformed when the value does not decode or is not the
// entry of that revision.
func (sy *syncer) handleEntry(ctx context.Context, rev model.Revision, item store.Item) error {
	if err := sy.loop.Do(ctx, ctrl.StoreReached{}); err != nil {
		return err
	}
	if item.Version() == 0 {
		return nil
	}
	entry, err := codec.DecodeEntry(item.Data())
	if err == nil && entry.Revision() != rev {
		err = errors.Wrap(codec.ErrMalformed, "revision of another key")
	}
	if err != nil {
		sy.loop.Post(ctrl.ValueRefused{})
		return errors.Wrapf(err, "read %s", EntryKey(rev))
	}
	return sy.loop.Do(ctx, ctrl.NewEntryCommitted(entry))
}

// pollConfig reads the next entry every PollInterval while the daemon is a
// watcher, in case the watch is stuck.
func (sy *syncer) pollConfig(ctx context.Context) {
	for sy.loop.Await(ctx, isWatcher) == nil {
		sleepJittered(ctx, PollInterval)
		rev := sy.loop.View().Config().Revision() + 1
		if item, err := sy.store.Get(ctx, EntryKey(rev)); err == nil {
			_ = sy.handleEntry(ctx, rev, item)
		}
	}
}

// maxBackoffDoublings is how often RetryDelay doubles at most.
const maxBackoffDoublings = 2

// backOff waits after a failed call, with exponential backoff and jitter: the delay
// is RetryDelay, doubled for each of the n calls that failed directly before it, at
// most maxBackoffDoublings times, plus a random time below that.
func backOff(ctx context.Context, n int) { sleepJittered(ctx, RetryDelay<<min(n, maxBackoffDoublings)) }

// sleepJittered waits for d and a random time below d, or until ctx ends.
func sleepJittered(ctx context.Context, d time.Duration) { _ = clock.Sleep(ctx, d+rand.N(d)) }
