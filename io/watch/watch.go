// Package watch follows the store and tells the control goroutine what it
// finds there.
package watch

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/store"
)

// Pause is the wait after a store that did not answer.
const Pause = 200 * time.Millisecond

// EntryKey returns the key of the change that makes a revision.
func EntryKey(rev model.Revision) string { return "conf." + strconv.FormatUint(uint64(rev), 10) }

// MembersKey returns the key of the members of a failure domain.
func MembersKey(d model.Domain) string { return "fleet." + string(d) }

// Config follows the line of revisions until ctx ends.
func Config(ctx context.Context, s store.Store, l *ctrl.Loop) error {
	for ctx.Err() == nil {
		if err := nextEntry(ctx, s, l); err != nil {
			rest(ctx)
		}
	}
	return nil
}

func nextEntry(ctx context.Context, s store.Store, l *ctrl.Loop) error {
	key := EntryKey(l.View().Config().Revision() + 1)
	item, err := s.Watch(ctx, key, 0)
	if err != nil {
		return errors.Wrap(err, "watch configuration")
	}
	if item.Version() == 0 {
		return nil
	}
	e, err := codec.DecodeEntry(item.Data())
	if err != nil {
		return errors.Wrapf(err, "read %s", key)
	}
	return l.Tell(ctx, ctrl.NewLearned(e))
}

// Members follows the members of a failure domain until ctx ends.
func Members(ctx context.Context, s store.Store, l *ctrl.Loop, d model.Domain) error {
	var version uint64
	for ctx.Err() == nil {
		item, err := s.Watch(ctx, MembersKey(d), version)
		if err != nil {
			rest(ctx)
			continue
		}
		if item.Version() == version {
			continue
		}
		version = item.Version()
		if err := seen(ctx, l, d, item); err != nil {
			rest(ctx)
		}
	}
	return nil
}

func seen(ctx context.Context, l *ctrl.Loop, d model.Domain, item store.Item) error {
	list, err := codec.DecodeMembers(item.Data())
	if err != nil {
		return err
	}
	return l.Tell(ctx, ctrl.NewSeen(d, list))
}

// Announce writes this daemon into the members of its failure domain, and
// tries again until it has or ctx ends.
func Announce(ctx context.Context, s store.Store, m fleet.Member) error {
	return edit(ctx, s, m.Domain(), func(list []fleet.Member) []fleet.Member { return fleet.Announce(list, m) })
}

// Retire takes a daemon out of the members of its failure domain.
func Retire(ctx context.Context, s store.Store, m fleet.Member) error {
	return edit(ctx, s, m.Domain(), func(list []fleet.Member) []fleet.Member { return fleet.Retire(list, m.Name()) })
}

func edit(ctx context.Context, s store.Store, d model.Domain, f func([]fleet.Member) []fleet.Member) error {
	for ctx.Err() == nil {
		err := editOnce(ctx, s, d, f)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			rest(ctx)
		}
	}
	return errors.Wrapf(ctx.Err(), "edit members of %s", d)
}

func editOnce(ctx context.Context, s store.Store, d model.Domain, f func([]fleet.Member) []fleet.Member) error {
	item, err := s.Get(ctx, MembersKey(d))
	if err != nil {
		return err
	}
	var list []fleet.Member
	if item.Version() > 0 {
		if list, err = codec.DecodeMembers(item.Data()); err != nil {
			return err
		}
	}
	data, err := codec.EncodeMembers(f(list))
	if err != nil {
		return err
	}
	_, err = s.Swap(ctx, MembersKey(d), item.Version(), data, 0)
	return err
}

// Conflict is a command that lost the race for its revision. It names the
// change that won.
type Conflict struct{ won change.Entry }

// Won returns the change that holds the revision.
func (c *Conflict) Won() change.Entry { return c.won }

// Error names the revision and what it says.
func (c *Conflict) Error() string {
	return "conflict: revision " + strconv.FormatUint(uint64(c.won.Revision()), 10) + " by " + c.won.Operator() +
		" says: " + change.FormatAll(c.won.Batch())
}

// Commit writes a change as the next revision. When the answer is lost, it
// reads back who holds the revision. An error is a *Conflict, or wraps
// store.ErrAway when nothing changed, or store.ErrUnknown.
func Commit(ctx context.Context, s store.Store, e change.Entry) error {
	data, err := codec.EncodeEntry(e)
	if err != nil {
		return err
	}
	_, err = s.Swap(ctx, EntryKey(e.Revision()), 0, data, 0)
	if err == nil || errors.Is(err, store.ErrAway) {
		return err
	}
	return settle(ctx, s, e, err)
}

func settle(ctx context.Context, s store.Store, e change.Entry, cause error) error {
	item, err := s.Get(ctx, EntryKey(e.Revision()))
	if err != nil {
		return errors.Wrapf(store.ErrUnknown, "commit revision %d: %v, then %v", e.Revision(), cause, err)
	}
	if item.Version() == 0 {
		return errors.Wrapf(store.ErrUnknown, "commit revision %d: %v", e.Revision(), cause)
	}
	won, err := codec.DecodeEntry(item.Data())
	if err != nil {
		return errors.Wrapf(err, "commit revision %d", e.Revision())
	}
	if won.Op() == e.Op() {
		return nil
	}
	return &Conflict{won: won}
}

func rest(ctx context.Context) {
	t := time.NewTimer(Pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
