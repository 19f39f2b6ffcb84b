package watch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/life"
	"anvilstand/core/model"
	"anvilstand/io/codec"
	"anvilstand/io/store"
)

// maxRecordTries is how often a stop is written before its record counts as failed:
// other daemons of the domain write the same key.
const maxRecordTries = 8

// StopRecorder records in the store which starts of the target beside a daemon have
// stopped, for later processes of the daemon. After a restore of the store from an older
// copy it records them again. It is safe for concurrent use.
type StopRecorder struct {
	store  store.Store
	domain model.Domain
	name   model.Instance

	mu       sync.Mutex           // held during calls of the store
	recorded map[life.Stop]uint64 // the era in which each stop is in the store
}

// NewStopRecorder returns a recorder for the target beside an instance.
func NewStopRecorder(s store.Store, d model.Domain, name model.Instance) *StopRecorder {
	return &StopRecorder{store: s, domain: d, name: name, recorded: map[life.Stop]uint64{}}
}

// Load reads the stops of the target until the store answers. It returns the error of
// ctx when that ends earlier. Stops may be missing if the records of the store are not
// known to have been rebuilt since it was restored: the process that confirmed them may
// have ended before it recorded them again.
func (r *StopRecorder) Load(ctx context.Context) (life.StopHistory, error) {
	for failures := 0; ; failures++ {
		history, err := r.load(ctx)
		if err == nil {
			return history, nil
		}
		if ctx.Err() != nil {
			return life.StopHistory{}, ctx.Err()
		}
		backOff(ctx, failures)
	}
}

// load reads the stops of the target once.
func (r *StopRecorder) load(ctx context.Context) (life.StopHistory, error) {
	era, err := readEraState(ctx, r.store)
	if err != nil {
		return life.StopHistory{}, err
	}
	records, item, err := r.decode(store.GetPrefetched(ctx, r.store, StopsKey(r.domain)))
	if err != nil {
		return life.StopHistory{}, err
	}
	stops := life.StopsOf(records, r.name)
	r.noteLoaded(stops, item)
	history := life.NewStopHistory(stops)
	if !era.rebuilt() || model.EraOf(item.StateVersion()) != era.present {
		history = history.AsPartial()
	}
	return history, nil
}

// noteLoaded remembers stops that are in the store.
func (r *StopRecorder) noteLoaded(stops []life.Stop, item store.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range stops {
		r.recorded[s] = max(r.recorded[s], model.EraOf(item.Version()))
	}
}

// FollowEra records the stops that this process knows again when the store was restored,
// until ctx ends. It returns nil.
func (r *StopRecorder) FollowEra(ctx context.Context) error {
	eras, ok := r.store.(store.Restorable)
	if !ok {
		return nil
	}
	era, err := eras.AwaitEra(ctx, 0)
	for err == nil {
		r.recordAgain(ctx)
		era, err = eras.AwaitEra(ctx, era)
	}
	return nil
}

// recordAgain records the stops that are known to be in the store only in an earlier era.
func (r *StopRecorder) recordAgain(ctx context.Context) {
	failures := 0
	for _, s := range r.stops() {
		for ctx.Err() == nil && r.Add(ctx, s) != nil {
			backOff(ctx, failures)
			failures++
		}
	}
}

func (r *StopRecorder) stops() []life.Stop {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.recorded))
}

// isRecorded reports whether a stop is in the store in its present era. The caller holds
// mu.
func (r *StopRecorder) isRecorded(s life.Stop) bool {
	era, ok := r.recorded[s]
	eras, restorable := r.store.(store.Restorable)
	return ok && (!restorable || era >= eras.Era())
}

// Add records a stop of the target, unless this process has recorded it before and the
// store has not been restored since. The error means that the record may be missing.
func (r *StopRecorder) Add(ctx context.Context, s life.Stop) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRecorded(s) {
		return nil
	}
	var err error
	for range maxRecordTries {
		if err = r.write(ctx, s); err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
	}
	return errors.Wrapf(err, "record stop of %s", s.ID())
}

// write adds a stop to the records in the store, if it is not among them. The caller holds
// mu.
func (r *StopRecorder) write(ctx context.Context, s life.Stop) error {
	records, item, err := r.read(ctx)
	if err != nil {
		return err
	}
	if slices.Contains(life.StopsOf(records, r.name), s) {
		r.recorded[s] = model.EraOf(item.Version())
		return nil
	}
	data, err := codec.EncodeStops(life.AddRecord(records, life.NewRecordedStop(r.name, s, time.Now())))
	if err != nil {
		return err
	}
	version, err := r.store.Swap(ctx, StopsKey(r.domain), item.StateVersion(), data, 0)
	if err == nil {
		r.recorded[s] = model.EraOf(version)
	}
	return err
}

// read returns the records of the domain and the item of their key. Records that do
// not decode are left out and so replaced by the next write, unless they are of another
// protocol version.
func (r *StopRecorder) read(ctx context.Context) ([]life.RecordedStop, store.Item, error) {
	return r.decode(r.store.Get(ctx, StopsKey(r.domain)))
}

func (r *StopRecorder) decode(item store.Item, err error) ([]life.RecordedStop, store.Item, error) {
	if err != nil {
		return nil, item, err
	}
	records, err := codec.DecodeStops(item.Data())
	if errors.Is(err, codec.ErrVersion) {
		return nil, item, err
	}
	return records, item, nil
}
