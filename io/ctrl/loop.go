package ctrl

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/crash"
	"anvilstand/core/fleet"
	"anvilstand/core/gossip"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/quota"
	"anvilstand/io/clock"
)

// Times and bounds of the control state.
const (
	// TickEvery is the mean time between two ticks. Each tick comes up to a
	// quarter earlier or later, so that daemons started together drift apart.
	TickEvery = time.Second
	// waiting is how many commands wait for the control goroutine.
	waiting = 1024
)

func untilTick() time.Duration {
	const spread = TickEvery / 2
	return TickEvery - spread/2 + rand.N(spread)
}

// Sender takes messages to other daemons. It does not wait.
type Sender interface {
	// Send queues a message for the daemon at an address and reports whether
	// there was room.
	Send(address string, m peer.Message) bool
}

// Loop owns the control state.
type Loop struct {
	inbox  chan envelope
	view   atomic.Pointer[View]
	change chan struct{}
	clock  clock.Clock
	node   *gossip.Node
	routes routes
	// refused counts the values of the store that do not read.
	refused uint64
	// written is the revision of the newest base known to be in the store.
	written model.Revision
	shares  shares
	watch   func(*View)
	crash   *crash.Tracker
	given   given
}

type envelope struct {
	command Command
	reply   chan error
}

// New returns a loop for a daemon. Run starts it. Seeds are addresses of other
// daemons to ask while no member is known.
func New(self fleet.Member, p gossip.Packer, seeds []string) *Loop {
	l := &Loop{
		inbox: make(chan envelope, waiting), change: make(chan struct{}),
		clock: clock.NewBoot(), node: gossip.New(self, p, seeds),
	}
	l.shares = newShares(self, l.clock)
	l.crash = &crash.Tracker{}
	l.publish(l.clock.Now())
	return l
}

// Run takes commands until ctx ends. It is the control goroutine.
func (l *Loop) Run(ctx context.Context, s Sender) error {
	t := time.NewTimer(untilTick())
	defer t.Stop()
	shareTick := time.NewTicker(quota.TickInterval)
	defer shareTick.Stop()
	l.beat(s)
	for {
		var out peer.Outbox
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.inbox:
			now := l.clock.Now()
			err := l.handle(now, e.command, &out)
			l.configure(now)
			if !isShare(e.command) {
				l.publish(now)
			}
			if e.reply != nil {
				e.reply <- err
			}
		case <-t.C:
			l.beat(s)
			t.Reset(untilTick())
		case <-shareTick.C:
			l.tickShares(l.clock.Now(), &out)
		case <-l.shares.purse.low:
			l.fill(l.clock.Now(), false, &out)
		}
		l.send(s, &out)
	}
}

// beat does what is due once a second.
func (l *Loop) beat(s Sender) {
	var out peer.Outbox
	now := l.clock.Now()
	l.tick(now, &out)
	l.configure(now)
	l.survey(now)
	l.publish(now)
	l.send(s, &out)
}

func (l *Loop) send(s Sender, out *peer.Outbox) {
	for _, p := range out.Envelopes() {
		if p.Address() != "" {
			s.Send(p.Address(), p.Message())
		} else if m, ok := l.node.Membership().Find(p.Peer()); ok {
			s.Send(m.Address(), p.Message())
		}
	}
}

// Tell hands a command to the control goroutine and waits until it is taken.
func (l *Loop) Tell(ctx context.Context, c Command) error {
	e := envelope{command: c, reply: make(chan error, 1)}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case l.inbox <- e:
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-e.reply:
		return err
	}
}

// Post hands a command to the control goroutine without waiting, and reports
// whether there was room.
func (l *Loop) Post(c Command) bool {
	select {
	case l.inbox <- envelope{command: c}:
		return true
	default:
		return false
	}
}

// View returns the newest snapshot.
func (l *Loop) View() *View { return l.view.Load() }

// OnView has f called with each view to come, in the control goroutine. It is
// called before Run, and f must not wait.
func (l *Loop) OnView(f func(*View)) { l.watch = f }

// Await waits until a snapshot is as asked, or ctx ends.
func (l *Loop) Await(ctx context.Context, ok func(*View) bool) error {
	for ctx.Err() == nil {
		v := l.View()
		if ok(v) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.changed:
		}
	}
	return ctx.Err()
}

// routes are the members as the traffic reads them, made anew only when the
// configuration or the membership has changed.
type routes struct {
	config    *conf.Config
	roster    uint64
	members   []fleet.Member
	byService map[model.Service][]fleet.Member
}

func (l *Loop) route() routes {
	config, roster := l.config(), l.node.Membership()
	if l.routes.byService != nil && l.routes.config == config && l.routes.roster == roster.Changes() {
		return l.routes
	}
	return routes{
		config: config, roster: roster.Changes(),
		members: roster.Members(), byService: fleet.ByService(config, roster.Alive()),
	}
}

// publish puts a new snapshot in place and wakes those who wait for one.
func (l *Loop) publish(now model.Instant) {
	l.routes = l.route()
	v := l.snapshot(now)
	old := l.view.Swap(v)
	if l.watch != nil {
		l.watch(v)
	}
	if old != nil {
		close(old.changed)
	}
}
