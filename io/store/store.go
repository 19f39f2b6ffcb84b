// Package store defines the key-value service with compare-and-swap that keeps
// configuration, member lists and quota records, and implements an HTTP client of
// it. It does not interpret the values (package codec does) and repeats no call
// (package watch does).
package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"anvilstand/core/model"
)

// MaxValue is the size of the largest value that the service stores, in bytes.
const MaxValue = 1 << 20

// Errors of a Store.
var (
	// ErrConflict means that the key did not have the expected version, and
	// that nothing was changed.
	ErrConflict = errors.New("version conflict")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrUnavailable means that a read failed, or that the service refused a
	// write because it is unavailable. Nothing was changed. A write without a
	// response is ErrOutcomeUnknown. Operators see the text of this error.
	ErrUnavailable = errors.New("store is away")
)

// Item is the value of a key and its version. The zero value, with version zero,
// means that the key does not exist.
type Item struct {
	data    []byte
	version uint64
	era     uint64 // of a key that does not exist
}

// NewItem returns an item. It keeps data without a copy.
func NewItem(data []byte, version uint64) Item { return Item{data: data, version: version} }

// NewAbsent returns the item of a key that does not exist in an era of the service.
func NewAbsent(era uint64) Item { return Item{era: era} }

// Data returns the value without a copy. It is empty when the key does not exist.
func (i Item) Data() []byte { return i.data }

// Version returns the version, which grows with each write of the key and with each era
// of the service (see model.VersionAt). It is zero when the key does not exist.
func (i Item) Version() uint64 { return i.version }

// StateVersion returns the version, and for a key that does not exist the one with
// revision zero in the era of the answer. A Swap at this version fails in a later era.
func (i Item) StateVersion() uint64 {
	if i.version == 0 {
		return model.VersionAt(i.era, 0)
	}
	return i.version
}

// Store is a key-value service with compare-and-swap, values that expire and
// watches.
type Store interface {
	// Get reads a key. A key that does not exist is no error; it has version
	// zero.
	Get(ctx context.Context, key string) (Item, error)
	// Swap is the compare-and-swap: it writes a key if it has the given version,
	// zero for a key that does not exist, and returns the new version. With a
	// ttl above zero the value expires unless it is written again within that
	// time. A version of an earlier era is a conflict, even if its revision was
	// assigned again.
	Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error)
	// Watch returns the key once its version differs from the given one, or
	// unchanged when the service ends the wait.
	Watch(ctx context.Context, key string, version uint64) (Item, error)
}

// Prefetcher is a Store that reads the keys of daemons ahead, in one call at the start of
// the process.
type Prefetcher interface {
	// Prefetched returns the item of a key as of that call, or false if the call failed or is
	// too long ago.
	Prefetched(ctx context.Context, key string) (Item, bool)
}

// GetPrefetched returns the item of a key as read ahead, or else reads it.
func GetPrefetched(ctx context.Context, s Store, key string) (Item, error) {
	if p, ok := s.(Prefetcher); ok {
		if item, ok := p.Prefetched(ctx, key); ok {
			return item, nil
		}
	}
	return s.Get(ctx, key)
}

// Lister is a Store that can read many keys in one call.
type Lister interface {
	// List returns the items of all keys with a prefix, by key, and the era of the
	// service.
	List(ctx context.Context, prefix string) (map[string]Item, uint64, error)
}
