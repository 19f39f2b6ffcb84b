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

// domains follows the list of the failure domains, and each one's record.
func (f *follower) domains(ctx context.Context) {
	_ = clock.Sleep(ctx, lookAround)
	for f.loop.Await(ctx, isWatcher) == nil {
		f.followDomains(ctx)
	}
}

// followDomains returns when the daemon is no watcher any more.
func (f *follower) followDomains(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		_ = f.loop.Await(ctx, func(v *ctrl.View) bool { return !isWatcher(v) })
		cancel()
		return nil
	})
	followed := map[model.Domain]bool{}
	follow := func(d model.Domain) {
		if !followed[d] {
			followed[d] = true
			g.Go(func() error {
				f.followRoll(ctx, d)
				return nil
			})
		}
	}
	follow(f.loop.View().Self().Domain())
	f.watchKey(ctx, domainsKey, func(item store.Item) error {
		list, err := codec.DecodeDomains(item.Data())
		for _, d := range list {
			follow(d)
		}
		return err
	})
	_ = g.Wait()
}

// watchKey hands each value of a key on until ctx ends. A value that does not
// read is counted and passed over.
func (f *follower) watchKey(ctx context.Context, key string, take func(store.Item) error) {
	var version uint64
	lost := 0
	for ctx.Err() == nil {
		item, err := f.store.Watch(ctx, key, version)
		if err != nil {
			away(ctx, lost)
			lost++
			continue
		}
		lost = 0
		if item.Version() == version || item.Version() == 0 {
			continue
		}
		version = item.Version()
		if err := take(item); err != nil {
			f.loop.Post(ctrl.Refused{})
		}
	}
}

func (f *follower) followRoll(ctx context.Context, d model.Domain) {
	f.watchKey(ctx, MembersKey(d), func(item store.Item) error { return f.seen(ctx, d, item) })
}

func (f *follower) readRoll(ctx context.Context, d model.Domain) error {
	item, err := f.store.Get(ctx, MembersKey(d))
	if err != nil {
		return errors.Wrap(err, "read members")
	}
	return f.seen(ctx, d, item)
}

// seen takes the record of a failure domain. When it does not read, the last
// members known stay, at the version of the value that has to be replaced.
func (f *follower) seen(ctx context.Context, d model.Domain, item store.Item) error {
	if item.Version() == 0 {
		return f.loop.Tell(ctx, ctrl.NewSeen(fleet.NewMemberList(d, 0, nil)))
	}
	list, err := codec.DecodeMembers(item.Data())
	if err != nil {
		list = slices.DeleteFunc(slices.Clone(f.loop.View().Members()), func(m fleet.Member) bool { return m.Domain() != d })
	}
	if told := f.loop.Tell(ctx, ctrl.NewSeen(fleet.NewMemberList(d, item.Version(), list))); told != nil {
		return told
	}
	return err
}

// write writes the record of the own failure domain when it has to change.
func (f *follower) write(ctx context.Context) {
	stale := func(v *ctrl.View) bool {
		_, ok := v.Record()
		return ok
	}
	listed := false
	for f.loop.Await(ctx, stale) == nil {
		_ = clock.Sleep(ctx, Pause/2)
		record, ok := f.loop.View().Record()
		if !ok {
			continue
		}
		err := f.writeRoll(ctx, record)
		if err == nil && !listed {
			listed = f.list(ctx, record.Domain()) == nil
		}
		switch {
		case err == nil:
			pause(ctx, WriteEvery)
		case errors.Is(err, store.ErrAway):
			pause(ctx, Pause)
		default:
			_ = f.readRoll(ctx, record.Domain())
			pause(ctx, Pause/2)
		}
	}
}

func (f *follower) writeRoll(ctx context.Context, r fleet.MemberList) error {
	data, err := codec.EncodeMembers(r.Members())
	if err != nil {
		return err
	}
	version, err := f.store.Swap(ctx, MembersKey(r.Domain()), r.Version(), data, 0)
	if err != nil {
		return errors.Wrap(err, "write members")
	}
	return f.loop.Tell(ctx, ctrl.NewSeen(fleet.NewMemberList(r.Domain(), version, r.Members())))
}

// list puts a failure domain into the list of all.
func (f *follower) list(ctx context.Context, d model.Domain) error {
	for {
		item, err := f.store.Get(ctx, domainsKey)
		if err != nil {
			return errors.Wrap(err, "read domains")
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
		_, err = f.store.Swap(ctx, domainsKey, item.Version(), data, 0)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		pause(ctx, Pause/2)
	}
}
