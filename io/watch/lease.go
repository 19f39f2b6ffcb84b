package watch

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/core/quota"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/store"
)

// Bounds of the store calls for quota leases.
const (
	// maxLeaseCalls is how many calls run at a time.
	maxLeaseCalls = 8
	// leaseCallTimeout is how long a call, a List included, may take.
	leaseCallTimeout = 2 * time.Second
	// maxSingleReads is how many queued reads are made one by one. More than
	// that become one List call, if the store has it.
	maxSingleReads = 3
)

// SyncLeases makes the store calls for quota leases that the control loop asks for, and
// tells it their results, until ctx ends. First it finds out whether the store was
// restored shortly before. It returns nil.
func SyncLeases(ctx context.Context, s store.Store, l *ctrl.Loop) error {
	awaitFirstEra(ctx, s, l)
	takePrefetchedRecords(ctx, s, l)
	firstReads := readOrgs{}
	g := &errgroup.Group{}
	g.SetLimit(maxLeaseCalls)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case a := <-l.StoreCalls():
			startCalls(ctx, g, s, l, firstReads, a)
		}
	}
}

// configWait is how long a starting daemon waits for its configuration, which says the
// organisations whose records it takes. Without one there are no calls to make.
const configWait = 200 * time.Millisecond

// takePrefetchedRecords passes the quota records that were read ahead to the control loop.
func takePrefetchedRecords(ctx context.Context, s store.Store, l *ctrl.Loop) {
	p, ok := s.(store.Prefetcher)
	if !ok {
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	if l.Await(waitCtx, func(v *ctrl.View) bool { return len(v.Config().Orgs()) > 0 }) != nil {
		return
	}
	for _, org := range l.View().Config().Orgs() {
		item, _ := p.Prefetched(ctx, QuotaRecordKey(org))
		if item.Version() == 0 {
			continue
		}
		if record, err := codec.DecodeRecord(item.Data()); err == nil && record.Valid() {
			_ = l.Do(ctx, ctrl.NewRecordFound(org, item.Version(), record))
		}
	}
}

// startCalls starts a call and those queued behind it in goroutines of g.
func startCalls(ctx context.Context, g *errgroup.Group, s store.Store, l *ctrl.Loop, firstReads readOrgs, first quota.Action) {
	reads, others := takeCalls(first, l.StoreCalls())
	reads = slices.DeleteFunc(reads, func(r quota.Read) bool { return firstReads.answer(ctx, s, l, r) })
	if lister, ok := s.(store.Lister); ok && len(reads) > maxSingleReads {
		g.Go(func() error {
			listRecords(ctx, lister, l, reads)
			return nil
		})
	} else {
		for _, r := range reads {
			others = append(others, r)
		}
	}
	for _, a := range others {
		g.Go(func() error {
			if result := leaseCall(ctx, s, l, a); result != nil {
				_ = l.Do(ctx, result)
			}
			return nil
		})
	}
}

// readOrgs is the set of organisations whose record was read before by this process.
type readOrgs map[model.Org]bool

// answer answers the first read of an organisation's record from what was read ahead, and
// reports whether it could. Later reads are made because the record may have changed.
func (o readOrgs) answer(ctx context.Context, s store.Store, l *ctrl.Loop, r quota.Read) bool {
	p, ok := s.(store.Prefetcher)
	if !ok || o[r.Org()] {
		return false
	}
	o[r.Org()] = true
	item, ok := p.Prefetched(ctx, QuotaRecordKey(r.Org()))
	if !ok {
		return false
	}
	_ = l.Do(ctx, readResult(l, r, item))
	return true
}

// takeCalls returns first and the calls queued behind it, reads apart. It must be
// the only receiver of the channel, because it receives as many calls as it found
// queued.
func takeCalls(first quota.Action, queue <-chan quota.Action) (reads []quota.Read, others []quota.Action) {
	all := []quota.Action{first}
	for range len(queue) {
		all = append(all, <-queue)
	}
	for _, a := range all {
		if r, ok := a.(quota.Read); ok {
			reads = append(reads, r)
		} else {
			others = append(others, a)
		}
	}
	return reads, others
}

// listRecords answers many reads from one List call.
func listRecords(ctx context.Context, s store.Lister, l *ctrl.Loop, reads []quota.Read) {
	listCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	items, era, err := s.List(listCtx, quotaRecordPrefix)
	for _, r := range reads {
		if err != nil {
			_ = l.Do(ctx, ctrl.NewStoreCallEnded(r.Org(), r.Op(), quota.NoAnswer{}))
			continue
		}
		item, ok := items[QuotaRecordKey(r.Org())]
		if !ok {
			item = store.NewAbsent(era)
		}
		_ = l.Do(ctx, readResult(l, r, item))
	}
}

// leaseCall makes a store call and returns the command that carries its result to
// the control loop, nil when a is no store call.
func leaseCall(ctx context.Context, s store.Store, l *ctrl.Loop, a quota.Action) ctrl.Command {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	switch a := a.(type) {
	case quota.Read:
		return readRecord(ctx, s, l, a)
	case quota.Swap:
		return ctrl.NewStoreCallEnded(a.Org(), a.Op(), swapRecord(ctx, s, a))
	case quota.ReadMembers:
		sy := &syncer{store: s, loop: l}
		err := sy.readMemberList(ctx, l.View().Self().Domain())
		return ctrl.NewMembersRead(a.Op(), err == nil)
	case quota.Send, quota.AddBatch, quota.MarkExhausted:
		return nil
	}
	return nil
}

func readRecord(ctx context.Context, s store.Store, l *ctrl.Loop, a quota.Read) ctrl.Command {
	item, err := s.Get(ctx, QuotaRecordKey(a.Org()))
	if err != nil {
		return ctrl.NewStoreCallEnded(a.Org(), a.Op(), quota.NoAnswer{})
	}
	return readResult(l, a, item)
}

// readResult returns the command that carries the value read. A value that does not
// decode counts as a record without leases, which the next claim replaces. One of an
// unknown protocol version counts as a store that did not answer.
func readResult(l *ctrl.Loop, a quota.Read, item store.Item) ctrl.Command {
	if item.Version() == 0 {
		return ctrl.NewRecordRead(a.Org(), a.Op(), item.StateVersion(), quota.Record{})
	}
	record, err := codec.DecodeRecord(item.Data())
	if errors.Is(err, codec.ErrVersion) {
		return ctrl.NewStoreCallEnded(a.Org(), a.Op(), quota.NoAnswer{})
	}
	if err != nil || !record.Valid() {
		l.Post(ctrl.ValueRefused{})
		record = quota.Record{}
	}
	return ctrl.NewRecordRead(a.Org(), a.Op(), item.Version(), record)
}

// swapRecord writes a record by compare-and-swap. A record that cannot be encoded
// counts as a conflict, so that the manager reads the record again.
func swapRecord(ctx context.Context, s store.Store, a quota.Swap) quota.Outcome {
	data, err := codec.EncodeRecord(a.Record())
	if err != nil {
		return quota.Conflict{}
	}
	version, err := s.Swap(ctx, QuotaRecordKey(a.Org()), a.Version(), data, 0)
	if errors.Is(err, store.ErrConflict) {
		return quota.Conflict{}
	}
	if err != nil {
		return quota.NoAnswer{}
	}
	return quota.NewSwapped(version)
}
