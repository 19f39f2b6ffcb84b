package ctrl

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/gossip"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/quota"
	"anvilstand/io/clock"
)

// Times and bounds of the control loop.
const (
	// GossipTickInterval is the mean time between two gossip ticks. Each interval is
	// up to a quarter shorter or longer, so that daemons that were started
	// together drift apart.
	GossipTickInterval = time.Second
	// maxQueuedCommands is the number of commands that can wait for the control
	// goroutine.
	maxQueuedCommands = 1024
)

// tickDelay returns the time until the next gossip tick.
func tickDelay() time.Duration {
	const jitter = GossipTickInterval / 2
	return GossipTickInterval - jitter/2 + rand.N(jitter)
}

// Sender sends messages to other daemons without blocking.
type Sender interface {
	// Send queues a message for the daemon at an address, host:port. It returns
	// false when the queue is full and the message is dropped.
	Send(address string, m peer.Message) bool
}

// Loop owns the control state. Only the goroutine in Run changes it; the methods
// Do, Post, View and Await are safe for concurrent use.
type Loop struct {
	inbox   chan queuedCommand
	view    atomic.Pointer[View]
	clock   clock.Clock
	node    *gossip.Node
	serving servingState
	// refusedValues counts the stored values, and the configurations kept outside
	// of anvilstand, that could not be decoded.
	refusedValues uint64
	// snapshotRevision is that of the newest snapshot known to be in the store.
	snapshotRevision model.Revision
	quotas           quotas
	onView           []func(*View)
	crashes          *SharedCrashes
	external         external
	rollouts         *rollouts
}

// queuedCommand is a command in the inbox.
type queuedCommand struct {
	command Command
	reply   chan error // nil when nobody waits for the result
}

// New returns the loop of a daemon; Run starts it. Seeds are addresses
// (host:port) of other daemons, which this one announces itself to while it
// knows no other members than the watchers.
func New(self fleet.Member, p gossip.Packer, seeds []string) *Loop {
	l := &Loop{
		inbox: make(chan queuedCommand, maxQueuedCommands),
		clock: clock.NewBoot(), node: gossip.New(self, p, seeds),
	}
	l.quotas = newQuotas(self, l.clock)
	l.crashes = &SharedCrashes{clock: l.clock}
	l.rollouts = newRollouts(self, l.clock)
	l.publish(l.clock.Now())
	return l
}

// Run is the control goroutine: it handles commands and does what is due at
// gossip ticks and quota ticks, until ctx ends. It returns nil.
func (l *Loop) Run(ctx context.Context, s Sender) error {
	gossipTimer := time.NewTimer(tickDelay())
	defer gossipTimer.Stop()
	quotaTick := time.NewTicker(quota.TickInterval)
	defer quotaTick.Stop()
	defer l.stopRolloutTicks()
	l.tick(s)
	for {
		var out peer.Outbox
		select {
		case <-ctx.Done():
			return nil
		case q := <-l.inbox:
			now := l.clock.Now()
			err := l.handle(now, q.command, &out)
			l.configureQuotas(now)
			if !isQuotaMessage(q.command) {
				l.publish(now)
			}
			if q.reply != nil {
				q.reply <- err
			}
		case <-gossipTimer.C:
			l.tick(s)
			gossipTimer.Reset(tickDelay())
		case <-l.rolloutDue():
			now := l.clock.Now()
			l.tickRollouts(now, &out)
			l.publish(now)
		case <-quotaTick.C:
			l.tickQuotas(l.clock.Now(), &out)
		case <-l.quotas.tokens.low:
			l.refill(l.clock.Now(), false, &out)
		}
		l.send(s, &out)
	}
}

// tick does what is due at a gossip tick.
func (l *Loop) tick(s Sender) {
	var out peer.Outbox
	now := l.clock.Now()
	l.tickNode(now, &out)
	l.noteWatcher(now)
	l.configureQuotas(now)
	l.updateQuotaStates(now)
	l.publish(now)
	l.send(s, &out)
}

// send sends the messages in out. A message to the name of a daemon that is not
// in the membership is dropped.
func (l *Loop) send(s Sender, out *peer.Outbox) {
	for _, e := range out.Envelopes() {
		if e.Address() != "" {
			s.Send(e.Address(), e.Message())
		} else if m, ok := l.node.Membership().Find(e.Peer()); ok {
			s.Send(m.Address(), e.Message())
		}
	}
}

// Do has the control goroutine handle a command, and returns its error. When
// ctx ends earlier it returns the error of ctx; the command may then still be
// handled.
func (l *Loop) Do(ctx context.Context, c Command) error {
	q := queuedCommand{command: c, reply: make(chan error, 1)}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case l.inbox <- q:
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-q.reply:
		return err
	}
}

// Post queues a command without waiting for its result. It returns false when
// the queue is full and the command is dropped.
func (l *Loop) Post(c Command) bool {
	select {
	case l.inbox <- queuedCommand{command: c}:
		return true
	default:
		return false
	}
}

// View returns the newest view. It is never nil.
func (l *Loop) View() *View { return l.view.Load() }

// OnView adds a function that the control goroutine calls with each new view.
// It must be added before Run, and f must not block.
func (l *Loop) OnView(f func(*View)) { l.onView = append(l.onView, f) }

// Await waits until a view meets a condition, or returns the error of ctx when
// it ends earlier. It may skip views that are replaced quickly.
func (l *Loop) Await(ctx context.Context, ok func(*View) bool) error {
	for ctx.Err() == nil {
		v := l.View()
		if ok(v) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.replaced:
		}
	}
	return ctx.Err()
}

// servingState is the configuration and the members by service, as traffic reads
// them. It is rebuilt only when the configuration or the membership has changed.
type servingState struct {
	config     *conf.Config
	membership uint64 // number of changes
	members    []fleet.Member
	leftOut    []fleet.Member // those of members that get no requests
	byService  map[model.Service][]fleet.Member
}

func (l *Loop) currentServing() servingState {
	config, membership := l.config(), l.node.Membership()
	if l.serving.byService != nil && l.serving.config == config && l.serving.membership == membership.Changes() {
		return l.serving
	}
	return servingState{
		config: config, membership: membership.Changes(),
		members: membership.Members(), leftOut: membership.LeftOut(),
		byService: fleet.ByService(config, membership.Reachable()),
	}
}

// publish replaces the view and wakes the goroutines in Await.
func (l *Loop) publish(now model.Instant) {
	l.serving = l.currentServing()
	v := l.newView(now)
	l.publishRollouts(now, v)
	old := l.view.Swap(v)
	for _, f := range l.onView {
		f(v)
	}
	if old != nil {
		close(old.replaced)
	}
}
