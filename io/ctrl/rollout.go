package ctrl

import (
	"context"
	"sync"
	"time"

	"anvilstand/core/canary"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/io/clock"
)

// rolloutTickInterval is the time between two judgements of the rollouts in progress.
const rolloutTickInterval = 250 * time.Millisecond

// rollouts is the part of the control state that follows the orders of rollouts.
type rollouts struct {
	controller *canary.Controller
	exposure   *SharedExposure
	ticker     *time.Ticker // while an order is open
	members    []fleet.Member
	membersAt  uint64 // number of changes of the membership
	// version is that of the target beside this daemon. It is listed only once it is
	// that of an order: otherwise each start would cost another write of the list, and
	// an order one for the old targets before that for the new ones.
	version string
	noteMu  sync.Mutex
	noted   *string // last version given to NoteVersion, under noteMu
}

func newRollouts(self fleet.Member, c clock.Clock) *rollouts {
	return &rollouts{controller: canary.New(self), exposure: &SharedExposure{clock: c}}
}

// NoteVersion tells the control goroutine the version of the target beside this daemon,
// if it has changed.
func (l *Loop) NoteVersion(ctx context.Context, version string) error {
	l.rollouts.noteMu.Lock()
	defer l.rollouts.noteMu.Unlock()
	if last := l.rollouts.noted; last != nil && *last == version {
		return nil
	}
	err := l.Do(ctx, VersionKnown{version: version})
	if err == nil {
		l.rollouts.noted = &version
	}
	return err
}

// handleVersion takes the version of the target.
func (l *Loop) handleVersion(now model.Instant, version string, out *peer.Outbox) {
	l.rollouts.version = version
	l.listVersion(now, out)
}

// listVersion has the target's version listed if it is that of an order.
func (l *Loop) listVersion(now model.Instant, out *peer.Outbox) {
	self := l.node.Self()
	order, ordered := l.rollouts.controller.Orders()[self.Service()]
	if (ordered && order.Version() == l.rollouts.version) || self.Version() != "" {
		l.node.SetVersion(now, l.rollouts.version, out)
	}
}

// Exposure returns what traffic counts and chooses by.
func (l *Loop) Exposure() *SharedExposure { return l.rollouts.exposure }

// OrdersRead carries the operators' orders of rollouts.
type OrdersRead struct {
	orders []canary.Order
	relist bool
}

// VersionKnown carries the version of the target beside this daemon.
type VersionKnown struct{ version string }

// RolloutStored carries the state that the store has for an order.
type RolloutStored struct {
	order canary.Order
	state canary.State
}

func (OrdersRead) isCommand()    {}
func (VersionKnown) isCommand()  {}
func (RolloutStored) isCommand() {}

// NewOrdersRead returns the command for the orders in force, which replace those before.
func NewOrdersRead(orders []canary.Order) OrdersRead { return OrdersRead{orders: orders} }

// AsRelisted returns the command for orders that were listed anew because changes may
// have been missed: the states in the store are then compared again.
func (c OrdersRead) AsRelisted() OrdersRead {
	c.relist = true
	return c
}

// NewRolloutStored returns the command for the state that the store has, canary.Unknown
// if it has none.
func NewRolloutStored(o canary.Order, s canary.State) RolloutStored {
	return RolloutStored{order: o, state: s}
}

// handleOrders sets the orders in force.
func (l *Loop) handleOrders(now model.Instant, c OrdersRead, out *peer.Outbox) {
	if c.relist {
		l.rollouts.controller.Relist(now, c.orders)
	} else {
		l.rollouts.controller.SetOrders(now, c.orders)
	}
	l.rollouts.exposure.retain(l.rollouts.controller.Orders())
	l.listVersion(now, out)
}

// receiveRollout takes another daemon's report.
func (l *Loop) receiveRollout(now model.Instant, e peer.Envelope, m peer.Rollout, out *peer.Outbox) {
	from, ok := l.node.Membership().Find(e.Peer())
	if !ok {
		return
	}
	reports, answers := l.rollouts.controller.Receive(now, from, m.Report())
	l.sendReports(now, reports, out)
	for _, a := range answers {
		out.Answer(e, peer.NewRollout(a))
	}
}

// sendReports sends reports to where their scopes belong.
func (l *Loop) sendReports(now model.Instant, reports canary.Outgoing, out *peer.Outbox) {
	for _, r := range reports {
		m := peer.NewRollout(r)
		switch r.Scope().(type) {
		case canary.Subtree:
			l.node.SendToParent(now, m, out)
		case canary.Branch:
			l.node.SendToDomainWatchers(now, m, out)
		case canary.Domain:
			l.node.SendToOtherDomains(now, m, out)
		case canary.Fleet:
			l.node.SendToChildren(now, m, out)
		}
	}
}

// rolloutDue returns the channel of the ticks while an order is open, nil otherwise.
func (l *Loop) rolloutDue() <-chan time.Time {
	r := l.rollouts
	if !r.controller.IsOpen() {
		l.stopRolloutTicks()
		return nil
	}
	if r.ticker == nil {
		r.ticker = time.NewTicker(rolloutTickInterval)
	}
	return r.ticker.C
}

func (l *Loop) stopRolloutTicks() {
	if l.rollouts.ticker != nil {
		l.rollouts.ticker.Stop()
		l.rollouts.ticker = nil
	}
}

// noteWatcher tells the rollouts whether this daemon is a watcher.
func (l *Loop) noteWatcher(now model.Instant) {
	_, isWatcher := l.node.WatcherIndex(now)
	l.rollouts.controller.NoteWatcher(isWatcher)
}

// tickRollouts judges the evidence on the orders that are open.
func (l *Loop) tickRollouts(now model.Instant, out *peer.Outbox) {
	r := l.rollouts
	membership := l.node.Membership()
	if r.members == nil || r.membersAt != membership.Changes() {
		r.members, r.membersAt = membership.Alive(), membership.Changes()
	}
	l.noteWatcher(now)
	plans := r.controller.Plans(now)
	gateIdle := func(o canary.Order) bool {
		return o.Service() == l.node.Self().Service() && r.exposure.follow(plans[o.Service()], r.version)
	}
	l.sendReports(now, r.controller.Tick(now, canary.NewSurroundings(r.members, r.exposure.counts, gateIdle)), out)
}

// publishRollouts adds the state of the rollouts to a view, and sets the gate by it.
func (l *Loop) publishRollouts(now model.Instant, v *View) {
	c := l.rollouts.controller
	v.plans, v.writes, v.rollouts = c.Plans(now), c.Writes(), c.Statuses(now)
	l.rollouts.exposure.follow(v.plans[v.self.Service()], l.rollouts.version)
}

// Plan returns the plan of a service, which has no order unless the operators gave one.
func (v *View) Plan(s model.Service) canary.Plan { return v.plans[s] }

// RolloutWrites returns the states of rollouts that this daemon should write to the
// store.
func (v *View) RolloutWrites() []canary.Write { return v.writes }

// Rollouts returns the orders of rollouts in force and their states, sorted by service.
func (v *View) Rollouts() []canary.Status { return v.rollouts }

// rolloutCommand is a Command about rollouts.
//
//sumtype:decl
type rolloutCommand interface {
	Command
	isRolloutCommand()
}

func (OrdersRead) isRolloutCommand()    {}
func (VersionKnown) isRolloutCommand()  {}
func (RolloutStored) isRolloutCommand() {}

func (l *Loop) handleRollout(now model.Instant, c rolloutCommand, out *peer.Outbox) {
	switch c := c.(type) {
	case OrdersRead:
		l.handleOrders(now, c, out)
	case VersionKnown:
		l.handleVersion(now, c.version, out)
	case RolloutStored:
		l.sendReports(now, l.rollouts.controller.TakeStored(now, c.order, c.state), out)
	}
}
