package ctrl

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
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
	self   fleet.Member
	config *conf.Config
	roster fleet.Roster
	heard  map[model.Instance]model.Revision
}

type envelope struct {
	command Command
	reply   chan error
}

// New returns a loop for a daemon. Run starts it.
func New(self fleet.Member) *Loop {
	l := &Loop{inbox: make(chan envelope, waiting), self: self, config: &conf.Config{}}
	l.publish()
	return l
}

// Run takes commands until ctx ends. It is the control goroutine.
func (l *Loop) Run(ctx context.Context, s Sender) error {
	t := time.NewTimer(untilTick())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.inbox:
			err := l.handle(e.command)
			l.publish()
			if e.reply != nil {
				e.reply <- err
			}
		case <-t.C:
			var out peer.Outbox
			l.tick(&out)
			l.send(s, &out)
			t.Reset(untilTick())
		}
	}
}

func (l *Loop) send(s Sender, out *peer.Outbox) {
	for _, p := range out.Posts() {
		if m, ok := l.roster.Find(p.Peer()); ok {
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

// Offer hands a command to the control goroutine without waiting, and reports
// whether there was room.
func (l *Loop) Offer(c Command) bool {
	select {
	case l.inbox <- envelope{command: c}:
		return true
	default:
		return false
	}
}

// View returns the newest snapshot.
func (l *Loop) View() *View { return l.view.Load() }

func (l *Loop) publish() {
	members := l.roster.Members()
	l.view.Store(&View{
		self:      l.self,
		config:    l.config,
		members:   members,
		byService: fleet.ByService(l.config, l.roster.Living()),
	})
}
