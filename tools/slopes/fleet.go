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
	domains    = 3
	orgs       = 8
	spendEvery = 200 * time.Millisecond
	hold       = time.Hour
	perService = 10 // targets of a service
)

// loops is a fleet of control loops.
type loops struct {
	store    fake.Stand
	mu       sync.RWMutex
	byAddr   map[string]*ctrl.Loop
	all      []*ctrl.Loop
	group    errgroup.Group
	stop     context.CancelFunc
	messages atomic.Int64
	bytes    atomic.Int64
}

// sender hands the messages of one daemon on.
type sender struct {
	loops *loops
	self  fleet.Member
}

// Send encodes a message, decodes it and offers it to the receiver.
func (s sender) Send(address string, m peer.Message) bool {
	data, err := codec.EncodeMessage(m)
	if err != nil {
		return false
	}
	s.loops.messages.Add(1)
	s.loops.bytes.Add(int64(len(data)))
	s.loops.mu.RLock()
	to := s.loops.byAddr[address]
	s.loops.mu.RUnlock()
	got, err := codec.DecodeMessage(data)
	if err != nil || to == nil {
		return false
	}
	return to.Post(ctrl.NewHeard(peer.NewEnvelope(s.self.Name(), got).WithFrom(s.self.Incarnation())))
}

func startFleet(ctx context.Context, n int) *loops {
	ctx, stop := context.WithCancel(ctx)
	f := &loops{byAddr: map[string]*ctrl.Loop{}, stop: stop}
	for i := range n {
		f.start(ctx, i)
	}
	return f
}

func (f *loops) start(ctx context.Context, i int) {
	address := fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250+1)
	domain := model.Domain(fmt.Sprintf("d%d", i%domains))
	service := model.Service(fmt.Sprintf("s%d", i/perService))
	self := fleet.NewMember(model.Instance(fmt.Sprintf("i%d", i)), domain, service, address).WithIncarnation(model.Incarnation(i + 1))
	l := ctrl.New(self, codec.Packer{}, nil)
	l.SetHold(hold)
	f.mu.Lock()
	f.byAddr[address] = l
	f.mu.Unlock()
	f.all = append(f.all, l)
	f.group.Go(func() error { return l.Run(ctx, sender{loops: f, self: self}) })
	f.group.Go(func() error { return watch.Follow(ctx, &f.store, l, false) })
	f.group.Go(func() error { return watch.Shares(ctx, &f.store, l) })
	f.group.Go(func() error {
		spend(ctx, l, model.Org(fmt.Sprintf("o%d", i%orgs)))
		return nil
	})
}

// spend is the traffic of one daemon: a few requests a second of one
// organisation.
func spend(ctx context.Context, l *ctrl.Loop, org model.Org) {
	t := time.NewTicker(spendEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			_ = l.TokenCache().Spend(org)
		}
	}
}

func (f *loops) close() {
	f.stop()
	_ = f.group.Wait()
}

// configure commits the organisations and waits until all hold them.
func (f *loops) configure(ctx context.Context) error {
	var text strings.Builder
	for i := range orgs {
		fmt.Fprintf(&text, "add org o%d rate 1000 burst 1000\n", i)
	}
	_, err := f.commit(ctx, 1, text.String())
	return err
}

// change commits one small change and returns how long it took to be in force
// everywhere.
func (f *loops) change(ctx context.Context) (time.Duration, error) {
	return f.commit(ctx, 2, "set org o0 rank 1")
}

// forceTimeout bounds the wait for a change to be in force.
const forceTimeout = 30 * time.Second

func (f *loops) commit(ctx context.Context, rev model.Revision, text string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	batch, err := change.Parse(text)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	e := change.NewEntry(rev, model.Op(fmt.Sprint("op", rev)), "slopes", began.Unix(), batch)
	if err := watch.Commit(ctx, &f.store, e); err != nil {
		return 0, err
	}
	for _, l := range f.all {
		if err := l.Await(ctx, func(v *ctrl.View) bool { return v.Config().Revision() >= rev }); err != nil {
			return 0, errors.Wrapf(err, "revision %d in force at all but %d", rev, f.behind(rev))
		}
	}
	return time.Since(began), nil
}

// behind returns how many daemons do not hold a revision.
func (f *loops) behind(rev model.Revision) int {
	n := 0
	for _, l := range f.all {
		if l.View().Config().Revision() < rev {
			n++
		}
	}
	return n
}
