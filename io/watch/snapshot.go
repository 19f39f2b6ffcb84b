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

// Sizes of the configuration snapshots in the store.
const (
	// RevisionsPerSnapshot is the number of revisions between two snapshots.
	RevisionsPerSnapshot = 256
	// snapshotPartBytes is the size of a part of a snapshot; store.MaxValue is
	// the limit of the store.
	snapshotPartBytes = 512 << 10
	// maxSnapshotParts is the most parts that a snapshot may have, 32 MiB in all.
	// Snapshots with more are not read.
	maxSnapshotParts = 64
)

// snapshotKey is the key of the revision and the number of parts of the newest
// snapshot.
const snapshotKey = "base"

// SnapshotPartKey returns the key of part i, counted from 0, of the snapshot at a
// revision.
func SnapshotPartKey(rev model.Revision, i int) string { return fmt.Sprintf("base.%d.%d", rev, i) }

// readSnapshot hands the newest snapshot in the store, if there is one, to the
// control loop. A snapshot that does not decode is counted and left out. The
// error means that the store did not answer or the control loop has ended.
func (sy *syncer) readSnapshot(ctx context.Context) error {
	item, err := sy.store.Get(ctx, snapshotKey)
	if err != nil || item.Version() == 0 {
		return err
	}
	rev, parts, err := codec.DecodeSnapshotInfo(item.Data())
	if err != nil {
		sy.loop.Post(ctrl.ValueRefused{})
		return nil //nolint:nilerr // The history is read from its first entry instead.
	}
	snap, err := getSnapshot(ctx, sy.store, rev, parts)
	if errors.Is(err, store.ErrUnavailable) {
		return err
	}
	if err != nil {
		sy.loop.Post(ctrl.ValueRefused{})
		return nil //nolint:nilerr // The history is read from its first entry instead.
	}
	return sy.loop.Do(ctx, ctrl.NewSnapshotRead(snap))
}

// getSnapshot reads and joins the parts of the snapshot at a revision.
func getSnapshot(ctx context.Context, s store.Store, rev model.Revision, parts int) (change.Snapshot, error) {
	if parts > maxSnapshotParts {
		return change.Snapshot{}, errors.Wrapf(codec.ErrMalformed, "base of %d parts", parts)
	}
	var data []byte
	for i := range parts {
		item, err := s.Get(ctx, SnapshotPartKey(rev, i))
		if err != nil {
			return change.Snapshot{}, errors.Wrapf(err, "read %s", SnapshotPartKey(rev, i))
		}
		data = append(data, item.Data()...)
	}
	return codec.Packer{}.Unpack(data)
}

// writeSnapshots writes a snapshot every RevisionsPerSnapshot revisions. The
// first watcher of each failure domain does it. The parts of a snapshot are the
// same whoever writes them, and a part is only created and never overwritten, so
// that several writers at a time do no harm.
func (sy *syncer) writeSnapshots(ctx context.Context) {
	due := func(v *ctrl.View) bool {
		index, ok := v.WatcherIndex()
		return ok && index == 0 && v.Config().Revision() >= v.SnapshotRevision()+RevisionsPerSnapshot
	}
	for sy.loop.Await(ctx, due) == nil {
		sleepJittered(ctx, RetryDelay)
		if err := sy.writeSnapshot(ctx); err != nil {
			sleepJittered(ctx, RetryDelay)
		}
	}
}

// writeSnapshot writes a snapshot of the configuration in force, its parts first,
// unless the store has one that is less than RevisionsPerSnapshot older.
func (sy *syncer) writeSnapshot(ctx context.Context) error {
	item, err := sy.store.Get(ctx, snapshotKey)
	if err != nil {
		return err
	}
	snap := sy.loop.View().Snapshot()
	if item.Version() > 0 {
		rev, _, err := codec.DecodeSnapshotInfo(item.Data())
		if err == nil && rev+RevisionsPerSnapshot > snap.Revision() {
			return sy.loop.Do(ctx, ctrl.NewSnapshotWritten(rev))
		}
	}
	parts, err := sy.writeParts(ctx, snap)
	if err != nil {
		return err
	}
	data, err := codec.EncodeSnapshotInfo(snap.Revision(), parts)
	if err != nil {
		return err
	}
	if _, err := sy.store.Swap(ctx, snapshotKey, item.Version(), data, 0); err != nil {
		return errors.Wrap(err, "write snapshot pointer")
	}
	return sy.loop.Do(ctx, ctrl.NewSnapshotWritten(snap.Revision()))
}

// writeParts writes the parts of a snapshot that the store lacks, and returns
// their number.
func (sy *syncer) writeParts(ctx context.Context, snap change.Snapshot) (int, error) {
	data, err := codec.Packer{}.Pack(snap)
	if err != nil {
		return 0, err
	}
	parts := (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
	for i := range parts {
		part := data[i*snapshotPartBytes : min(len(data), (i+1)*snapshotPartBytes)]
		_, err := sy.store.Swap(ctx, SnapshotPartKey(snap.Revision(), i), 0, part, 0)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return 0, errors.Wrapf(err, "write %s", SnapshotPartKey(snap.Revision(), i))
		}
	}
	return parts, nil
}

// ConfigAt returns the configuration that was in force at a revision. It reads the
// entries up to that revision, starting at the first one, or after the newest
// snapshot unless that is later than the revision.
func ConfigAt(ctx context.Context, s store.Store, rev model.Revision) (*conf.Config, error) {
	var history change.History
	if err := loadSnapshot(ctx, s, &history, rev); err != nil {
		return nil, err
	}
	for history.Revision() < rev {
		key := EntryKey(history.Revision() + 1)
		item, err := s.Get(ctx, key)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", key)
		}
		entry, err := codec.DecodeEntry(item.Data())
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", key)
		}
		if err := history.TakeEntry(entry); err != nil && !errors.Is(err, change.ErrNoEffect) {
			return nil, err
		}
	}
	return history.Config(), nil
}

// loadSnapshot starts a history with the newest snapshot, unless there is none or
// it is later than rev.
func loadSnapshot(ctx context.Context, s store.Store, history *change.History, rev model.Revision) error {
	item, err := s.Get(ctx, snapshotKey)
	if err != nil || item.Version() == 0 {
		return err
	}
	newest, parts, err := codec.DecodeSnapshotInfo(item.Data())
	if err != nil || newest > rev {
		return nil //nolint:nilerr // The history is read from its first entry instead.
	}
	snap, err := getSnapshot(ctx, s, newest, parts)
	if err != nil {
		return err
	}
	return history.TakeSnapshot(snap)
}
