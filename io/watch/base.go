package watch

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"anvilstand/core/change"
	"anvilstand/core/conf"
	"anvilstand/core/model"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/store"
)

// Sizes of the bases in the store.
const (
	// BaseEvery is the number of revisions between two bases.
	BaseEvery = 256
	// partBytes is the size of a part of a base, below the store's limit.
	partBytes = 512 << 10
	// maxParts bounds the parts of a base that are read.
	maxParts = 64
)

// baseKey is the key of the revision and the number of parts of the newest base.
const baseKey = "base"

// PartKey returns the key of a part of the base at a revision.
func PartKey(rev model.Revision, i int) string { return fmt.Sprintf("base.%d.%d", rev, i) }

// readBase takes the newest base, if there is one.
func (f *follower) readBase(ctx context.Context) error {
	item, err := f.store.Get(ctx, baseKey)
	if err != nil || item.Version() == 0 {
		return err
	}
	rev, parts, err := codec.DecodeCount(item.Data())
	if err != nil {
		f.loop.Post(ctrl.Refused{})
		return nil //nolint:nilerr // The line is read from its first entry instead.
	}
	b, err := getBase(ctx, f.store, rev, parts)
	if errors.Is(err, store.ErrAway) {
		return err
	}
	if err != nil {
		f.loop.Post(ctrl.Refused{})
		return nil //nolint:nilerr // The line is read from its first entry instead.
	}
	return f.loop.Tell(ctx, ctrl.NewBased(b))
}

func getBase(ctx context.Context, s store.Store, rev model.Revision, parts int) (change.Snapshot, error) {
	if parts > maxParts {
		return change.Snapshot{}, errors.Wrapf(codec.ErrForm, "base of %d parts", parts)
	}
	var data []byte
	for i := range parts {
		item, err := s.Get(ctx, PartKey(rev, i))
		if err != nil {
			return change.Snapshot{}, errors.Wrapf(err, "read %s", PartKey(rev, i))
		}
		data = append(data, item.Data()...)
	}
	return codec.Packer{}.Unpack(data)
}

// compact writes a base every BaseEvery revisions. The first watcher of any
// domain does it. The parts of a base are the same whoever writes them, and
// each is created from absent, so that doubled writers do no harm.
func (f *follower) compact(ctx context.Context) {
	due := func(v *ctrl.View) bool {
		rank, ok := v.Watching()
		return ok && rank == 0 && v.Config().Revision() >= v.Written()+BaseEvery
	}
	for f.loop.Await(ctx, due) == nil {
		pause(ctx, Pause)
		if err := f.writeBase(ctx); err != nil {
			pause(ctx, Pause)
		}
	}
}

func (f *follower) writeBase(ctx context.Context) error {
	item, err := f.store.Get(ctx, baseKey)
	if err != nil {
		return err
	}
	b := f.loop.View().Base()
	if item.Version() > 0 {
		rev, _, err := codec.DecodeCount(item.Data())
		if err == nil && rev+BaseEvery > b.Revision() {
			return f.loop.Tell(ctx, ctrl.NewWritten(rev))
		}
	}
	parts, err := f.putParts(ctx, b)
	if err != nil {
		return err
	}
	data, err := codec.EncodeCount(b.Revision(), parts)
	if err != nil {
		return err
	}
	if _, err := f.store.Swap(ctx, baseKey, item.Version(), data, 0); err != nil {
		return errors.Wrap(err, "write base")
	}
	return f.loop.Tell(ctx, ctrl.NewWritten(b.Revision()))
}

func (f *follower) putParts(ctx context.Context, b change.Snapshot) (int, error) {
	data, err := codec.Packer{}.Pack(b)
	if err != nil {
		return 0, err
	}
	parts := (len(data) + partBytes - 1) / partBytes
	for i := range parts {
		part := data[i*partBytes : min(len(data), (i+1)*partBytes)]
		_, err := f.store.Swap(ctx, PartKey(b.Revision(), i), 0, part, 0)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return 0, errors.Wrapf(err, "write %s", PartKey(b.Revision(), i))
		}
	}
	return parts, nil
}

// At reads the configuration that was in force at a revision: the entries from
// the first one on, or behind the newest base that is not later.
func At(ctx context.Context, s store.Store, rev model.Revision) (*conf.Config, error) {
	var line change.History
	if err := startLine(ctx, s, &line, rev); err != nil {
		return nil, err
	}
	for line.Revision() < rev {
		key := EntryKey(line.Revision() + 1)
		item, err := s.Get(ctx, key)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", key)
		}
		e, err := codec.DecodeEntry(item.Data())
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", key)
		}
		if err := line.TakeEntry(e); err != nil && !errors.Is(err, change.ErrNoEffect) {
			return nil, err
		}
	}
	return line.Config(), nil
}

func startLine(ctx context.Context, s store.Store, line *change.History, rev model.Revision) error {
	item, err := s.Get(ctx, baseKey)
	if err != nil || item.Version() == 0 {
		return err
	}
	newest, parts, err := codec.DecodeCount(item.Data())
	if err != nil || newest > rev {
		return nil //nolint:nilerr // The line is read from its first entry instead.
	}
	b, err := getBase(ctx, s, newest, parts)
	if err != nil {
		return err
	}
	return line.TakeSnapshot(b)
}
