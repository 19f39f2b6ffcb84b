package ctrl

import (
	"context"
	"sync/atomic"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// TickEvery is the time between two ticks of the control state.
const TickEvery = time.Second

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
	watch  func(*View)
	heard  map[model.Instance]model.Revision
}

type envelope struct {
	command Command
	reply   chan error
}

// New returns a loop for a daemon. Run starts it.
func New(self fleet.Member) *Loop {
	l := &Loop{inbox: make(chan envelope), self: self, config: &conf.Config{}}
	l.publish()
	return l
}

// Run takes commands until ctx ends. It is the control goroutine.
func (l *Loop) Run(ctx context.Context, s Sender) error {
	t := time.NewTicker(TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.inbox:
			err := l.handle(e.command)
			l.publish()
			e.reply <- err
		case <-t.C:
			var out peer.Outbox
			l.tick(&out)
			l.send(s, &out)
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

// View returns the newest snapshot.
func (l *Loop) View() *View { return l.view.Load() }

// Watch has f called with each view to come, in the control goroutine. It is
// called before Run, and f must not wait.
func (l *Loop) Watch(f func(*View)) { l.watch = f }

func (l *Loop) publish() {
	members := l.roster.Members()
	v := &View{
		self:      l.self,
		config:    l.config,
		members:   members,
		byService: fleet.ByService(l.config, members),
	}
	l.view.Store(v)
	if l.watch != nil {
		l.watch(v)
	}
}
