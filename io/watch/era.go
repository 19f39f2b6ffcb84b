package watch

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
	"anvilstand/io/ctrl"
	"anvilstand/io/store"
)

// eraKey is the key of the era in which the daemons have written again what the store
// lost at its last restore. A process that starts finds by it whether records may still
// be those of an older copy.
const eraKey = "era"

// FollowEra tells the control loop when the store was restored from an older copy, and
// calls restored with both eras, until ctx ends. It returns nil.
func FollowEra(ctx context.Context, s store.Restorable, l *ctrl.Loop, restored func(before, after uint64)) error {
	before, _ := s.AwaitEra(ctx, 0)
	for ctx.Err() == nil {
		after, err := s.AwaitEra(ctx, before)
		if err != nil {
			continue // ctx has ended
		}
		restored(before, after)
		_ = l.Do(ctx, ctrl.NewStoreRestored(after))
		before = after
	}
	return nil
}

// eraState is the era of a store, and that in which its records were last rebuilt.
type eraState struct {
	present, settled uint64
	isSettled        bool   // in any era, which may be zero
	version          uint64 // of the key of the settled era
}

// readEraState reads both eras, from the listing at the start of a process if there is one.
func readEraState(ctx context.Context, s store.Store) (eraState, error) {
	return eraStateOf(store.GetPrefetched(ctx, s, eraKey))
}

// eraStateOf returns what the item of eraKey says.
func eraStateOf(item store.Item, err error) (eraState, error) {
	if err != nil {
		return eraState{}, errors.Wrap(err, "read era")
	}
	e := eraState{present: model.EraOf(item.StateVersion()), version: item.StateVersion()}
	settled, err := strconv.ParseUint(string(item.Data()), 10, 64)
	if err == nil {
		e.settled, e.isSettled = settled, true
	}
	return e, nil
}

// rebuilt reports whether the records are known to be rebuilt since the store was last
// restored. A store in era zero was never restored. A later era that nobody has settled
// is that of a store that is new, or was restored before any daemon settled an era: the
// first daemons that follow it settle it.
func (e eraState) rebuilt() bool { return e.settled >= e.present }

// awaitFirstEra tells the control loop whether the store was restored shortly before this
// process started. Until it has answered, no quota lease may be claimed. A store without
// eras costs one read, unless it is read ahead.
func awaitFirstEra(ctx context.Context, s store.Store, l *ctrl.Loop) {
	if _, ok := s.(store.Restorable); !ok {
		return
	}
	for failures := 0; ctx.Err() == nil; failures++ {
		era, err := readEraState(ctx, s)
		if err == nil {
			if era.isSettled && !era.rebuilt() {
				_ = l.Do(ctx, ctrl.NewStoreRestored(era.present))
			}
			return
		}
		backOff(ctx, failures)
	}
}

// writeEra records the present era of the store once the records are rebuilt, while this
// daemon is a watcher, until ctx ends. The first watcher to do so writes; others find it
// written. Era zero is recorded, too: by it a process that starts after the first restore
// can tell that from a new store.
func (sy *syncer) writeEra(ctx context.Context) {
	eras, ok := sy.store.(store.Restorable)
	if !ok {
		return
	}
	_, err := eras.AwaitFirstEra(ctx)
	for err == nil {
		sleepJittered(ctx, WriteInterval)
		if sy.loop.Await(ctx, func(v *ctrl.View) bool { return isWatcher(v) && !v.IsRebuilding() }) != nil {
			return
		}
		era := eras.Era()
		if sy.recordEra(ctx, era) == nil {
			_, err = eras.AwaitEra(ctx, era)
		}
	}
}

// recordEra writes an era unless it is written.
func (sy *syncer) recordEra(ctx context.Context, era uint64) error {
	e, err := eraStateOf(sy.store.Get(ctx, eraKey))
	if err != nil || (e.isSettled && e.settled >= era) {
		return err
	}
	_, err = sy.store.Swap(ctx, eraKey, e.version, []byte(strconv.FormatUint(era, 10)), 0)
	return err
}
