package watch

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/store"
)

// followMemberLists follows the list of failure domains and the member list of
// each domain while the daemon is a watcher.
func (sy *syncer) followMemberLists(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, followDelay)
	defer cancel()
	_ = sy.loop.Await(waitCtx, func(v *ctrl.View) bool { return isWatcher(v) && slices.Contains(v.Members(), v.Self()) })
	for sy.loop.Await(ctx, isWatcher) == nil {
		sy.followWhileWatcher(ctx)
	}
}

// followWhileWatcher follows the lists until the daemon is no watcher any more or
// ctx ends.
func (sy *syncer) followWhileWatcher(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		_ = sy.loop.Await(ctx, func(v *ctrl.View) bool { return !isWatcher(v) })
		cancel()
		return nil
	})
	followed := map[model.Domain]bool{}
	follow := func(d model.Domain) {
		if !followed[d] {
			followed[d] = true
			g.Go(func() error {
				sy.followMemberList(ctx, d)
				return nil
			})
		}
	}
	own := sy.loop.View().Self().Domain()
	follow(own)
	var firstEra *uint64
	sy.watchKey(ctx, domainsKey, func(item store.Item) error {
		var list []model.Domain
		var err error
		if item.Version() > 0 {
			list, err = codec.DecodeDomains(item.Data())
		}
		for _, d := range list {
			follow(d)
		}
		era := model.EraOf(item.StateVersion())
		if firstEra == nil {
			firstEra = &era
		}
		if err == nil && era > *firstEra && !slices.Contains(list, own) {
			sy.restoreDomain(ctx, own)
		}
		return err
	})
	_ = g.Wait()
}

// restoreDomain adds the own failure domain again to the list of all, which the store has
// lost.
func (sy *syncer) restoreDomain(ctx context.Context, own model.Domain) {
	for ctx.Err() == nil {
		sleepJittered(ctx, RetryDelay)
		if sy.addToDomains(ctx, own) == nil {
			return
		}
	}
}

// watchKey calls handle with each new value of a key until ctx ends, and when the key
// vanishes. A value for which handle returns an error is counted as refused.
func (sy *syncer) watchKey(ctx context.Context, key string, handle func(store.Item) error) {
	var version uint64
	failures := 0
	for ctx.Err() == nil {
		item, err := sy.store.Watch(ctx, key, version)
		if err != nil {
			backOff(ctx, failures)
			failures++
			continue
		}
		failures = 0
		if item.Version() == version {
			continue
		}
		version = item.Version()
		if err := handle(item); err != nil {
			sy.loop.Post(ctrl.ValueRefused{})
		}
	}
}

func (sy *syncer) followMemberList(ctx context.Context, d model.Domain) {
	sy.watchKey(ctx, MemberListKey(d), func(item store.Item) error { return sy.handleMemberList(ctx, d, item) })
}

func (sy *syncer) readMemberList(ctx context.Context, d model.Domain) error {
	item, err := sy.store.Get(ctx, MemberListKey(d))
	if err != nil {
		return errors.Wrap(err, "read member list")
	}
	return sy.handleMemberList(ctx, d, item)
}

// handleMemberList hands the member list of a failure domain to the control loop.
// Entries that do not decode are left out. When the value as a whole does not, it
// hands over the members known so far. In both cases it has a watcher replace the
// value, unless that is of an unknown protocol version, and returns the decoding error.
func (sy *syncer) handleMemberList(ctx context.Context, d model.Domain, item store.Item) error {
	if item.Version() == 0 {
		return sy.loop.Do(ctx, ctrl.NewMemberListRead(fleet.NewMemberList(d, 0, nil)))
	}
	members, err := codec.DecodeMembers(d, item.Data())
	if members == nil {
		members = slices.DeleteFunc(slices.Clone(sy.loop.View().Members()), func(m fleet.Member) bool { return m.Domain() != d })
	}
	read := ctrl.NewMemberListRead(fleet.NewMemberList(d, item.Version(), members))
	if err != nil && !errors.Is(err, codec.ErrVersion) {
		read = read.AsDamaged()
	}
	if doErr := sy.loop.Do(ctx, read); doErr != nil {
		return doErr
	}
	return err
}

// writeOwnMemberList writes the member list of the own failure domain whenever the
// control state wants it changed, until ctx ends. After a version conflict or a
// write of unknown outcome it reads the list again.
func (sy *syncer) writeOwnMemberList(ctx context.Context) {
	outdated := func(v *ctrl.View) bool {
		_, ok := v.DesiredMemberList()
		return ok
	}
	listed := false
	pause := firstWriteInterval
	for sy.loop.Await(ctx, outdated) == nil {
		// For further edits. A domain's first list is written at once, so that others
		// that start find it.
		if sy.loop.View().MemberListVersion(sy.loop.View().Self().Domain()) > 0 {
			_ = clock.Sleep(ctx, RetryDelay/2)
		}
		list, ok := sy.loop.View().DesiredMemberList()
		if !ok {
			continue
		}
		err := sy.writeMemberList(ctx, list)
		if err == nil && !listed {
			listed = sy.addToDomains(ctx, list.Domain()) == nil
		}
		switch {
		case err == nil:
			sleepJittered(ctx, pause)
			pause = min(2*pause, WriteInterval)
		case errors.Is(err, store.ErrUnavailable):
			sleepJittered(ctx, RetryDelay)
		default:
			_ = sy.readMemberList(ctx, list.Domain())
			sleepJittered(ctx, RetryDelay/2)
		}
	}
}

func (sy *syncer) writeMemberList(ctx context.Context, list fleet.MemberList) error {
	data, err := codec.EncodeMembers(list.Members())
	if err != nil {
		return err
	}
	version, err := sy.store.Swap(ctx, MemberListKey(list.Domain()), list.Version(), data, 0)
	if err != nil {
		return errors.Wrap(err, "write member list")
	}
	return sy.loop.Do(ctx, ctrl.NewMemberListRead(fleet.NewMemberList(list.Domain(), version, list.Members())))
}

// addToDomains adds a failure domain to the list of all, which it reads again
// after a version conflict. A list that does not decode is replaced.
func (sy *syncer) addToDomains(ctx context.Context, d model.Domain) error {
	for {
		item, err := sy.store.Get(ctx, domainsKey)
		if err != nil {
			return errors.Wrap(err, "read list of failure domains")
		}
		var all []model.Domain
		if item.Version() > 0 {
			all, _ = codec.DecodeDomains(item.Data())
		}
		if slices.Contains(all, d) {
			return nil
		}
		data, err := codec.EncodeDomains(append(all, d))
		if err != nil {
			return err
		}
		_, err = sy.store.Swap(ctx, domainsKey, item.Version(), data, 0)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		sleepJittered(ctx, RetryDelay/2)
	}
}
