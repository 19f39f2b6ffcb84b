package ctrl

import (
	"math/rand/v2"
	"time"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/core/quota"
	"anvilstand/io/clock"
)

// quotas is the part of the control state that enforces the rate quotas of
// organisations.
type quotas struct {
	manager    *quota.Manager
	tokens     *SharedTokenCache
	calls      chan quota.Action // quota.Read, quota.Swap or quota.ReadMembers, to be made in the store
	config     *conf.Config      // last one given to the manager
	membership uint64            // number of its changes given to the manager
	ticks      int
	states     []quota.State
}

const (
	// reportTicks is the number of quota ticks between two reports of all usage.
	reportTicks = 8
	// maxQueuedCalls is the number of store calls that can wait for the goroutine
	// that makes them.
	maxQueuedCalls = 1024
)

func newQuotas(self fleet.Member, c clock.Clock) quotas {
	q := quotas{tokens: newTokenCache(c), calls: make(chan quota.Action, maxQueuedCalls)}
	q.newManager(self, 0)
	return q
}

func (q *quotas) newManager(self fleet.Member, leaseTTL time.Duration) {
	h := quota.NewHolder(self.Name(), self.Address(), self.Incarnation())
	q.manager = quota.NewManager(h, self.Domain(), leaseTTL, rand.Uint64())
}

// SetLeaseTTL sets how long quota leases last without contact to the store;
// quota.DefaultLeaseTTL if d is not positive. It must be called before Run.
func (l *Loop) SetLeaseTTL(d time.Duration) { l.quotas.newManager(l.node.Self(), d) }

// SetSlack sets what a daemon that takes over a lease may issue beyond rate and
// burst. It must be called before Run, and after SetLeaseTTL, which makes a new
// Manager without slack.
func (l *Loop) SetSlack(s quota.Slack) { l.quotas.manager.SetSlack(s) }

// TokenCache returns the tokens that traffic spends.
func (l *Loop) TokenCache() *SharedTokenCache { return l.quotas.tokens }

// StoreCalls returns the store calls to make: quota.Read, quota.Swap and
// quota.ReadMembers. Their results come back as RecordRead, StoreCallEnded and MembersRead.
func (l *Loop) StoreCalls() <-chan quota.Action { return l.quotas.calls }

// RecordRead carries the answer to a quota.Read.
type RecordRead struct {
	org     model.Org
	op      uint64
	version uint64
	record  quota.Record
}

// RecordFound carries a quota record that the store had when the process started.
type RecordFound struct {
	org     model.Org
	version uint64
	record  quota.Record
}

// NewRecordFound returns the command for a record and its version.
func NewRecordFound(org model.Org, version uint64, r quota.Record) RecordFound {
	return RecordFound{org: org, version: version, record: r}
}

// StoreCallEnded carries the outcome of a quota.Swap, or of a quota.Read that failed.
type StoreCallEnded struct {
	org     model.Org
	op      uint64
	outcome quota.Outcome
}

// MembersRead reports the end of a quota.ReadMembers, after MemberListRead with the list
// if there was an answer.
type MembersRead struct {
	op       uint64
	answered bool
}

// NewMembersRead returns the command for the end of the quota.ReadMembers op.
func NewMembersRead(op uint64, answered bool) MembersRead {
	return MembersRead{op: op, answered: answered}
}

// StoreRestored reports that the store was restored from an older copy and is in a new
// era.
type StoreRestored struct{ era uint64 }

// NewStoreRestored returns the command for the new era of the store.
func NewStoreRestored(era uint64) StoreRestored { return StoreRestored{era: era} }

// quotaCommand is a Command about quota leases.
//
//sumtype:decl
type quotaCommand interface {
	Command
	isQuotaCommand()
}

func (StoreRestored) isCommand()       {}
func (RecordRead) isCommand()          {}
func (RecordFound) isCommand()         {}
func (StoreCallEnded) isCommand()      {}
func (MembersRead) isCommand()         {}
func (StoreRestored) isQuotaCommand()  {}
func (RecordRead) isQuotaCommand()     {}
func (RecordFound) isQuotaCommand()    {}
func (StoreCallEnded) isQuotaCommand() {}
func (MembersRead) isQuotaCommand()    {}

// NewRecordRead returns the command for the answer to the quota.Read op. Revision zero
// means that the store has no record.
func NewRecordRead(org model.Org, op, version uint64, r quota.Record) RecordRead {
	return RecordRead{org: org, op: op, version: version, record: r}
}

// NewStoreCallEnded returns the command for the outcome of the store call op.
func NewStoreCallEnded(org model.Org, op uint64, o quota.Outcome) StoreCallEnded {
	return StoreCallEnded{org: org, op: op, outcome: o}
}

// isQuotaMessage reports whether a command is a quota message. Such a command
// needs no new view, since views show the quota states as of the last gossip
// tick.
func isQuotaMessage(c Command) bool {
	m, ok := c.(MessageReceived)
	if !ok {
		return false
	}
	_, ok = m.message.Message().(peer.Quota)
	return ok
}

// handleQuotaMessage handles a message of another daemon's quota manager.
func (l *Loop) handleQuotaMessage(now model.Instant, m peer.Quota, out *peer.Outbox) {
	var actions quota.Outbox
	l.quotas.manager.HandleMessage(now, m.Message(), &actions)
	l.execute(now, &actions, out)
}

// handleQuota handles a command about quota leases.
func (l *Loop) handleQuota(now model.Instant, c quotaCommand, out *peer.Outbox) {
	switch c := c.(type) {
	case StoreRestored:
		l.quotas.manager.NoteRestore(now, c.era)
	case RecordRead:
		l.handleRead(now, c, out)
	case RecordFound:
		l.handleFound(now, c, out)
	case StoreCallEnded:
		l.handleOutcome(now, c, out)
	case MembersRead:
		l.quotas.manager.HandleMembersRead(now, c.op, c.answered)
	}
}

func (l *Loop) handleRead(now model.Instant, c RecordRead, out *peer.Outbox) {
	var actions quota.Outbox
	l.quotas.manager.HandleRead(now, c.org, c.op, c.version, c.record, &actions)
	l.execute(now, &actions, out)
}

// handleFound passes a record on like one that another daemon has sent.
func (l *Loop) handleFound(now model.Instant, c RecordFound, out *peer.Outbox) {
	var actions quota.Outbox
	u := quota.NewRecordUpdate(c.org, 0, quota.Holder{}, c.version, c.record)
	l.quotas.manager.HandleMessage(now, u, &actions)
	l.execute(now, &actions, out)
}

func (l *Loop) handleOutcome(now model.Instant, c StoreCallEnded, out *peer.Outbox) {
	var actions quota.Outbox
	l.quotas.manager.HandleOutcome(now, c.org, c.op, c.outcome, &actions)
	l.execute(now, &actions, out)
}

// tickQuotas does what is due every quota.TickInterval.
func (l *Loop) tickQuotas(now model.Instant, out *peer.Outbox) {
	l.quotas.ticks++
	l.refill(now, l.quotas.ticks%reportTicks == 0, out)
	var actions quota.Outbox
	l.quotas.manager.Tick(now, &actions)
	l.execute(now, &actions, out)
}

// refill asks lease holders for the tokens that the token cache needs, and
// reports usage to them; that of all batches if all is set.
func (l *Loop) refill(now model.Instant, all bool, out *peer.Outbox) {
	var refills quota.RefillRequests
	l.quotas.tokens.collect(all, &refills)
	var actions quota.Outbox
	for _, r := range refills.List() {
		l.quotas.manager.Refill(now, r, &actions)
	}
	l.execute(now, &actions, out)
}

// resignLeases gives up the quota leases for the planned stop. Traffic may spend
// cached tokens until the last request has ended; the rest expires.
func (l *Loop) resignLeases(now model.Instant, out *peer.Outbox) {
	var actions quota.Outbox
	l.quotas.manager.Resign(now, &actions)
	l.execute(now, &actions, out)
}

// configureQuotas gives the manager the configuration and the membership if one
// of them has changed.
func (l *Loop) configureQuotas(now model.Instant) {
	config, membership := l.config(), l.node.Membership()
	if l.quotas.config == config && l.quotas.membership == membership.Changes() {
		return
	}
	l.quotas.config, l.quotas.membership = config, membership.Changes()
	for _, m := range membership.Members() {
		if membership.Ended(m) {
			l.quotas.manager.MarkEnded(m.Incarnation())
		}
	}
	// With those that have ended: their successors at their addresses get the records.
	l.quotas.manager.Configure(now, config, membership.Members())
	l.quotas.tokens.setOnDemand(l.quotas.manager)
}

// execute does what the manager asked for.
func (l *Loop) execute(now model.Instant, actions *quota.Outbox, out *peer.Outbox) {
	for _, a := range actions.Actions() {
		switch a := a.(type) {
		case quota.Send:
			out.AddAt(a.Address(), peer.NewQuota(a.Message()))
		case quota.Read:
			l.queueCall(now, a, a.Org(), a.Op(), out)
		case quota.Swap:
			l.queueCall(now, a, a.Org(), a.Op(), out)
		case quota.ReadMembers:
			l.queueMembersRead(now, a)
		case quota.AddBatch:
			l.quotas.tokens.put(a.Org(), a.Batch())
		case quota.MarkExhausted:
			l.quotas.tokens.markExhausted(a.Org(), a.Until())
		}
	}
}

// queueCall queues a store call. When the queue is full the call fails at once.
func (l *Loop) queueCall(now model.Instant, a quota.Action, org model.Org, op uint64, out *peer.Outbox) {
	select {
	case l.quotas.calls <- a:
	default:
		l.handleOutcome(now, NewStoreCallEnded(org, op, quota.NoAnswer{}), out)
	}
}

// queueMembersRead queues the store call for the member list. When the queue is full the
// call fails at once.
func (l *Loop) queueMembersRead(now model.Instant, a quota.ReadMembers) {
	select {
	case l.quotas.calls <- a:
	default:
		l.quotas.manager.HandleMembersRead(now, a.Op(), false)
	}
}

// updateQuotaStates updates the quota states that views show.
func (l *Loop) updateQuotaStates(now model.Instant) {
	l.quotas.states = nil
	for _, org := range l.quotas.manager.Orgs() {
		l.quotas.states = append(l.quotas.states, l.quotas.manager.State(now, org))
	}
}
