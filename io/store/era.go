package store

import (
	"context"
	"sync"

	"anvilstand/core/model"
)

// Restorable is a Store that tells the era in which it answers. Restoring the service
// from an older copy raises the era by one.
type Restorable interface {
	// Era returns the highest era seen in an answer, zero for none.
	Era() uint64
	// AwaitFirstEra waits until an answer has told an era, which may be zero, and returns
	// the highest one, or the error of ctx when that ends earlier.
	AwaitFirstEra(ctx context.Context) (uint64, error)
	// AwaitEra waits until the era is higher than the given one and returns it, or the
	// error of ctx when that ends earlier.
	AwaitEra(ctx context.Context, era uint64) (uint64, error)
}

// Eras tracks the era of a service by its answers. The zero value is in era zero. It is
// safe for concurrent use.
type Eras struct {
	mu     sync.Mutex
	era    uint64
	told   bool          // by an answer
	raised chan struct{} // closed when the era rises or is told for the first time
}

// Observe takes the era of an answer. It returns false if an answer of a later era was
// seen before, or the era is beyond model.MaxEra: the answer must not be used.
func (e *Eras) Observe(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era < e.era || era > model.MaxEra {
		return false
	}
	if era > e.era || !e.told {
		e.era, e.told = era, true
		if e.raised != nil {
			close(e.raised)
			e.raised = nil
		}
	}
	return true
}

// Era returns the highest era observed.
func (e *Eras) Era() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// AwaitFirstEra implements Restorable.
func (e *Eras) AwaitFirstEra(ctx context.Context) (uint64, error) {
	return e.await(ctx, func() bool { return e.told })
}

// AwaitEra implements Restorable.
func (e *Eras) AwaitEra(ctx context.Context, era uint64) (uint64, error) {
	return e.await(ctx, func() bool { return e.era > era })
}

// await waits until a condition holds, which is called under the lock.
func (e *Eras) await(ctx context.Context, holds func() bool) (uint64, error) {
	for {
		now, raised, ok := e.check(holds)
		if ok {
			return now, nil
		}
		select {
		case <-ctx.Done():
			return now, ctx.Err()
		case <-raised:
		}
	}
}

// check returns the era, the channel that is closed when it rises, and whether the
// condition holds.
func (e *Eras) check(holds func() bool) (uint64, <-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.raised == nil {
		e.raised = make(chan struct{})
	}
	return e.era, e.raised, holds()
}
