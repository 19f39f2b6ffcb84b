package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/fake"
	"anvilstand/io/watch"
)

// Sizes of the fleet's configuration and traffic.
const (
	domainCount       = 3
	orgCount          = 8
	spendInterval     = 200 * time.Millisecond
	leaseTTL          = time.Hour
	targetsPerService = 10
)

// loopFleet runs the control loops of many daemons in one process and counts the
// messages between them.
type loopFleet struct {
	store     fake.Store
	mu        sync.RWMutex
	byAddress map[string]*ctrl.Loop
	loops     []*ctrl.Loop
	group     errgroup.Group
	stop      context.CancelFunc
	messages  atomic.Int64
	bytes     atomic.Int64
}

// sender delivers the messages of one daemon.
type sender struct {
	fleet *loopFleet
	self  fleet.Member
}

// Send encodes a message, decodes it and posts it to the loop at an address. It
// reports whether that loop accepted it.
func (s sender) Send(address string, m peer.Message) bool {
	data, err := codec.EncodeMessage(m)
	if err != nil {
		return false
	}
	s.fleet.messages.Add(1)
	s.fleet.bytes.Add(int64(len(data)))
	s.fleet.mu.RLock()
	to := s.fleet.byAddress[address]
	s.fleet.mu.RUnlock()
	decoded, err := codec.DecodeMessage(data)
	if err != nil || to == nil {
		return false
	}
	return to.Post(ctrl.NewMessageReceived(peer.NewEnvelope(s.self.Name(), decoded).WithIncarnation(s.self.Incarnation())))
}

// startFleet starts the control loops of n daemons.
func startFleet(ctx context.Context, n int) *loopFleet {
	ctx, stop := context.WithCancel(ctx)
	f := &loopFleet{byAddress: map[string]*ctrl.Loop{}, stop: stop}
	for i := range n {
		f.add(ctx, i)
	}
	return f
}

// add starts the control loop, the store watchers and the traffic of the i-th
// daemon.
func (f *loopFleet) add(ctx context.Context, i int) {
	address := fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250+1)
	domain := model.Domain(fmt.Sprintf("d%d", i%domainCount))
	service := model.Service(fmt.Sprintf("s%d", i/targetsPerService))
	self := fleet.NewMember(model.Instance(fmt.Sprintf("i%d", i)), domain, service, address).WithIncarnation(model.Incarnation(i + 1))
	l := ctrl.New(self, codec.Packer{}, nil)
	l.SetLeaseTTL(leaseTTL)
	f.mu.Lock()
	f.byAddress[address] = l
	f.mu.Unlock()
	f.loops = append(f.loops, l)
	f.group.Go(func() error { return l.Run(ctx, sender{fleet: f, self: self}) })
	f.group.Go(func() error { return watch.Sync(ctx, &f.store, l, false) })
	f.group.Go(func() error { return watch.SyncLeases(ctx, &f.store, l) })
	f.group.Go(func() error {
		spend(ctx, l, model.Org(fmt.Sprintf("o%d", i%orgCount)))
		return nil
	})
}

// spend simulates the traffic of one daemon: it spends one token of an organisation
// every spendInterval.
func spend(ctx context.Context, l *ctrl.Loop, org model.Org) {
	ticker := time.NewTicker(spendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = l.TokenCache().Spend(org)
		}
	}
}

// close stops all control loops and waits for them.
func (f *loopFleet) close() {
	f.stop()
	_ = f.group.Wait()
}

// configure commits the organisations and waits until all daemons have applied them.
func (f *loopFleet) configure(ctx context.Context) error {
	var text strings.Builder
	for i := range orgCount {
		fmt.Fprintf(&text, "add org o%d rate 1000 burst 1000\n", i)
	}
	_, err := f.commit(ctx, 1, text.String())
	return err
}

// change commits one small change and returns how long it took until all daemons
// had applied it.
func (f *loopFleet) change(ctx context.Context) (time.Duration, error) {
	return f.commit(ctx, 2, "set org o0 rank 1")
}

// applyTimeout bounds the wait until all daemons have applied a change.
const applyTimeout = 30 * time.Second

// commit writes an entry of the history to the store and returns how long it took
// until all daemons had applied it.
func (f *loopFleet) commit(ctx context.Context, rev model.Revision, text string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	batch, err := change.ParseChanges(text)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	e := change.NewEntry(rev, model.Op(fmt.Sprint("op", rev)), "slopes", began.Unix(), batch)
	if err := watch.Commit(ctx, &f.store, e); err != nil {
		return 0, err
	}
	for _, l := range f.loops {
		if err := l.Await(ctx, func(v *ctrl.View) bool { return v.Config().Revision() >= rev }); err != nil {
			return 0, errors.Wrapf(err, "wait for revision %d: %d daemons have not applied it", rev, f.behind(rev))
		}
	}
	return time.Since(began), nil
}

// behind returns how many daemons have not applied a revision.
func (f *loopFleet) behind(rev model.Revision) int {
	n := 0
	for _, l := range f.loops {
		if l.View().Config().Revision() < rev {
			n++
		}
	}
	return n
}
