// Package fake is an in-memory fake of the key-value service, with fault
// injection, for tests and for the subcommand store. It keeps nothing on disk.
package fake

import (
	"context"
	"maps"
	"sync"
	"time"

	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/store"
)

// Fault is an injected fault of the service.
//
//sumtype:decl
type Fault interface{ isFault() }

// Members of Fault. A nil Fault means that the service works.
type (
	// Down fails each call with store.ErrUnavailable and changes nothing.
	Down struct{}
	// Slow delays each call.
	Slow struct{ delay time.Duration }
	// LostAnswer lets writes take effect but fails them with
	// store.ErrOutcomeUnknown, as if the response were lost. Reads work.
	LostAnswer struct{}
)

func (Down) isFault()       {}
func (Slow) isFault()       {}
func (LostAnswer) isFault() {}

// NewSlow returns the fault that delays each call by delay.
func NewSlow(delay time.Duration) Slow { return Slow{delay: delay} }

// Copy is a copy of all entries of a Store, from which it can be restored.
type Copy struct{ entries map[string]entry }

// Store is the fake service. It is a store.Store for tests in one process; Handler
// serves it over HTTP. The zero value is empty and has no fault. It is safe for
// concurrent use.
type Store struct {
	store.Eras
	mu      sync.Mutex
	fault   Fault
	entries map[string]entry
	changed chan struct{}
	reads   uint64
	writes  uint64
}

type entry struct {
	data    []byte
	version uint64
	expires time.Time
}

// SetFault injects a fault in place of the one before; nil ends it. Watches that
// wait are subject to the new fault at once.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notify()
}

// Copy returns a copy of all entries.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{entries: maps.Clone(s.entries)}
}

// Restore replaces all entries by those of a copy, which loses what was written since
// then, and starts the next era. Revisions written since then are assigned again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = maps.Clone(c.entries)
	s.Observe(s.Era() + 1)
	s.notify()
}

// Calls returns the number of reads and of writes so far. A watch counts as one
// read. Other calls that failed because of Down, or of a context that ended during
// the delay of Slow, don't count.
func (s *Store) Calls() (reads, writes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Get reads a key, or fails with store.ErrUnavailable.
func (s *Store) Get(ctx context.Context, key string) (store.Item, error) {
	if err := s.applyFault(ctx); err != nil {
		return store.Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.lookup(key), nil
}

// Swap writes a key that has the given version. It fails with store.ErrConflict
// also when data is larger than store.MaxValue.
func (s *Store) Swap(ctx context.Context, key string, version uint64, data []byte, ttl time.Duration) (uint64, error) {
	if err := s.applyFault(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	item := s.lookup(key)
	if (item.Version() != version && item.StateVersion() != version) || len(data) > store.MaxValue {
		return 0, store.ErrConflict
	}
	next := s.set(key, data, ttl)
	if _, lost := s.fault.(LostAnswer); lost {
		return 0, store.ErrOutcomeUnknown
	}
	return next, nil
}

// Watch returns a key once its version differs from the given one, or unchanged
// when ctx ends.
func (s *Store) Watch(ctx context.Context, key string, version uint64) (store.Item, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	for {
		if err := s.applyFault(ctx); err != nil {
			return store.Item{}, err
		}
		s.mu.Lock()
		item, changed := s.lookup(key), s.changedChan()
		s.mu.Unlock()
		if item.Version() != version {
			return item, nil
		}
		select {
		case <-ctx.Done():
			return item, nil
		case <-changed:
		}
	}
}

// applyFault delays a call if the fault is Slow, and returns store.ErrUnavailable if
// the fault is Down or ctx ends during the delay.
func (s *Store) applyFault(ctx context.Context) error {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch f := fault.(type) {
	case Down:
		return store.ErrUnavailable
	case Slow:
		if clock.Sleep(ctx, f.delay) != nil {
			return store.ErrUnavailable
		}
		return nil
	case LostAnswer:
		return nil
	}
	return nil
}

// lookup returns a key unless it has expired. The caller holds mu, as for the
// methods below.
func (s *Store) lookup(key string) store.Item {
	e, ok := s.entries[key]
	if !ok || (!e.expires.IsZero() && time.Now().After(e.expires)) {
		return store.NewAbsent(s.Era())
	}
	return store.NewItem(e.data, model.VersionAt(s.Era(), e.version))
}

func (s *Store) set(key string, data []byte, ttl time.Duration) uint64 {
	if s.entries == nil {
		s.entries = map[string]entry{}
	}
	e := entry{data: data, version: s.entries[key].version + 1}
	if ttl > 0 {
		e.expires = time.Now().Add(ttl)
	}
	s.entries[key] = e
	s.notify()
	return model.VersionAt(s.Era(), e.version)
}

// changedChan returns the channel that notify closes next.
func (s *Store) changedChan() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify wakes all watches, so that they look at the key and the fault again.
func (s *Store) notify() {
	close(s.changedChan())
	s.changed = nil
}
