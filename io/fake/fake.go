// Package fake is a stand-in of the platform's key-value service, in memory,
// with switches for its faults.
package fake

import (
	"context"
	"sync"
	"time"

	"anvilstand/io/clock"
	"anvilstand/io/store"
)

// Fault is how the service misbehaves.
//
//sumtype:decl
type Fault interface{ isFault() }

// Members of Fault. A nil Fault means that the service is well.
type (
	// Down answers nothing.
	Down struct{}
	// Slow answers late.
	Slow struct{ delay time.Duration }
	// Lost takes changes into effect and loses the answer.
	Lost struct{}
)

func (Down) isFault() {}
func (Slow) isFault() {}
func (Lost) isFault() {}

// NewSlow returns the fault of answering late by delay.
func NewSlow(delay time.Duration) Slow { return Slow{delay: delay} }

// Stand is the service. It is a store.Store itself, for tests in one process.
// The zero value is empty and well.
type Stand struct {
	mu      sync.Mutex
	fault   Fault
	items   map[string]held
	changed chan struct{}
	reads   uint64
	writes  uint64
}

type held struct {
	data    []byte
	version uint64
	expires time.Time
}

// SetFault makes the service misbehave, or be well again with nil.
func (s *Stand) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Calls returns the reads, with each watch as one, and the writes taken so far.
func (s *Stand) Calls() (reads, writes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Get reads a key.
func (s *Stand) Get(ctx context.Context, key string) (store.Item, error) {
	if err := s.misbehave(ctx); err != nil {
		return store.Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.get(key), nil
}

// Swap writes a key that stands at the given version.
func (s *Stand) Swap(ctx context.Context, key string, version uint64, data []byte, lease time.Duration) (uint64, error) {
	if err := s.misbehave(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.get(key).Version() != version || len(data) > store.MaxValue {
		return 0, store.ErrConflict
	}
	next := s.put(key, data, lease)
	if _, lost := s.fault.(Lost); lost {
		return 0, store.ErrUnknown
	}
	return next, nil
}

// Watch waits until a key differs from the given version.
func (s *Stand) Watch(ctx context.Context, key string, version uint64) (store.Item, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	for {
		if err := s.misbehave(ctx); err != nil {
			return store.Item{}, err
		}
		s.mu.Lock()
		item, changed := s.get(key), s.changes()
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

func (s *Stand) misbehave(ctx context.Context) error {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch f := fault.(type) {
	case Down:
		return store.ErrAway
	case Slow:
		if clock.Sleep(ctx, f.delay) != nil {
			return store.ErrAway
		}
		return nil
	case Lost:
		return nil
	}
	return nil
}

func (s *Stand) get(key string) store.Item {
	h, ok := s.items[key]
	if !ok || (!h.expires.IsZero() && time.Now().After(h.expires)) {
		return store.Item{}
	}
	return store.NewItem(h.data, h.version)
}

func (s *Stand) put(key string, data []byte, lease time.Duration) uint64 {
	if s.items == nil {
		s.items = map[string]held{}
	}
	h := held{data: data, version: s.items[key].version + 1}
	if lease > 0 {
		h.expires = time.Now().Add(lease)
	}
	s.items[key] = h
	s.wake()
	return h.version
}

func (s *Stand) changes() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *Stand) wake() {
	close(s.changes())
	s.changed = nil
}
