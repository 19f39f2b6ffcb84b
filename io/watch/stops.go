package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/life"
	"anvilstand/core/model"
	"anvilstand/io/codec"
	"anvilstand/io/store"
)

// StopsKey returns the key of the recorded stops of a failure domain's targets.
func StopsKey(d model.Domain) string { return "stops." + string(d) }

// maxRecordTries is how often a stop is written before its record counts as failed:
// other daemons of the domain write the same key.
const maxRecordTries = 8

// StopRecorder records in the store which starts of the target beside a daemon have
// stopped, for later processes of the daemon. It is safe for concurrent use.
type StopRecorder struct {
	store  store.Store
	domain model.Domain
	name   model.Instance

	mu       sync.Mutex // held during calls of the store
	recorded map[life.Stop]bool
}

// NewStopRecorder returns a recorder for the target beside an instance.
func NewStopRecorder(s store.Store, d model.Domain, name model.Instance) *StopRecorder {
	return &StopRecorder{store: s, domain: d, name: name, recorded: map[life.Stop]bool{}}
}

// Load reads the stops of the target until the store answers. It returns the error of
// ctx when that ends earlier.
func (r *StopRecorder) Load(ctx context.Context) ([]life.Stop, error) {
	for failures := 0; ; failures++ {
		records, _, err := r.read(ctx)
		if err == nil {
			return life.StopsOf(records, r.name), nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		backOff(ctx, failures)
	}
}

// Add records a stop of the target, unless this process has recorded it before. The
// error means that the record may be missing.
func (r *StopRecorder) Add(ctx context.Context, s life.Stop) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recorded[s] {
		return nil
	}
	var err error
	for range maxRecordTries {
		if err = r.write(ctx, s); err == nil {
			r.recorded[s] = true
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
	}
	return errors.Wrapf(err, "record stop of %s", s.ID())
}

// write adds a stop to the records in the store, if it is not among them.
func (r *StopRecorder) write(ctx context.Context, s life.Stop) error {
	records, version, err := r.read(ctx)
	if err != nil {
		return err
	}
	if slices.Contains(life.StopsOf(records, r.name), s) {
		return nil
	}
	data, err := codec.EncodeStops(life.AddRecord(records, life.NewRecordedStop(r.name, s, time.Now())))
	if err != nil {
		return err
	}
	_, err = r.store.Swap(ctx, StopsKey(r.domain), version, data, 0)
	return err
}

// read returns the records of the domain and the version of their key. Records that do
// not decode are left out and so replaced by the next write, unless they are of another
// protocol version.
func (r *StopRecorder) read(ctx context.Context) ([]life.RecordedStop, uint64, error) {
	item, err := r.store.Get(ctx, StopsKey(r.domain))
	if err != nil {
		return nil, 0, err
	}
	records, err := codec.DecodeStops(item.Data())
	if errors.Is(err, codec.ErrVersion) {
		return nil, 0, err
	}
	return records, item.Version(), nil
}
