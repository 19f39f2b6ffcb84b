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

// shares is the part of the control state that holds organisations to their
// rates.
type shares struct {
	desk   *quota.Manager
	purse  *TokenCache
	calls  chan quota.Action
	config *conf.Config
	roster uint64
	ticks  int
	states []quota.State
}

const (
	// reportTicks is the number of share ticks between two reports of what was
	// spent.
	reportTicks = 8
	// queuedCalls is how many store calls wait for a worker.
	queuedCalls = 1024
)

func newShares(self fleet.Member, c clock.Clock) shares {
	s := shares{purse: newPurse(c), calls: make(chan quota.Action, queuedCalls)}
	s.open(self, 0)
	return s
}

func (s *shares) open(self fleet.Member, hold time.Duration) {
	h := quota.NewHolder(self.Name(), self.Address(), self.Incarnation())
	s.desk = quota.NewManager(h, self.Domain(), hold, rand.Uint64())
}

// SetHold sets how long titles last without contact to the store. It is called
// before Run.
func (l *Loop) SetHold(d time.Duration) { l.shares.open(l.node.Self(), d) }

// SetSlack sets what a successor of a title's holder may issue beyond the
// promise. It is called after SetHold and before Run.
func (l *Loop) SetSlack(s quota.Slack) { l.shares.desk.SetSlack(s) }

// TokenCache returns the tokens that the traffic spends.
func (l *Loop) TokenCache() *TokenCache { return l.shares.purse }

// Calls returns the store calls that the shares want made. Recorded and
// Settled carry the answers.
func (l *Loop) Calls() <-chan quota.Action { return l.shares.calls }

// Recorded brings the answer to a share.Read.
type Recorded struct {
	org     model.Org
	op      uint64
	version uint64
	record  quota.Record
}

// Settled brings the outcome of a share.Swap, or of a share.Read that failed.
type Settled struct {
	org     model.Org
	op      uint64
	outcome quota.Outcome
}

func (Recorded) isCommand() {}
func (Settled) isCommand()  {}

// NewRecorded returns the command that brings the answer to a share.Read.
func NewRecorded(org model.Org, op, version uint64, r quota.Record) Recorded {
	return Recorded{org: org, op: op, version: version, record: r}
}

// NewSettled returns the command that brings the outcome of a store call.
func NewSettled(org model.Org, op uint64, o quota.Outcome) Settled {
	return Settled{org: org, op: op, outcome: o}
}

// isShare reports whether a command concerns shares alone, which the snapshot
// shows as of the last tick.
func isShare(c Command) bool {
	h, ok := c.(Heard)
	if !ok {
		return false
	}
	_, ok = h.post.Message().(peer.Share)
	return ok
}

// hearShare takes a message of another desk.
func (l *Loop) hearShare(now model.Instant, m peer.Share, out *peer.Outbox) {
	var acts quota.Outbox
	l.shares.desk.HandleMessage(now, m.Message(), &acts)
	l.act(now, &acts, out)
}

func (l *Loop) recorded(now model.Instant, c Recorded, out *peer.Outbox) {
	var acts quota.Outbox
	l.shares.desk.HandleRead(now, c.org, c.op, c.version, c.record, &acts)
	l.act(now, &acts, out)
}

func (l *Loop) settled(now model.Instant, c Settled, out *peer.Outbox) {
	var acts quota.Outbox
	l.shares.desk.HandleOutcome(now, c.org, c.op, c.outcome, &acts)
	l.act(now, &acts, out)
}

// tickShares does what is due for the shares.
func (l *Loop) tickShares(now model.Instant, out *peer.Outbox) {
	l.shares.ticks++
	l.fill(now, l.shares.ticks%reportTicks == 0, out)
	var acts quota.Outbox
	l.shares.desk.Tick(now, &acts)
	l.act(now, &acts, out)
}

// fill asks for what the purse lacks.
func (l *Loop) fill(now model.Instant, all bool, out *peer.Outbox) {
	var needs quota.Refills
	l.shares.purse.collect(all, &needs)
	var acts quota.Outbox
	for _, n := range needs.List() {
		l.shares.desk.Refill(now, n, &acts)
	}
	l.act(now, &acts, out)
}

// resign gives the titles back, for the planned stop. The purse goes on until
// the last request is in; what is left in it lapses.
func (l *Loop) resign(now model.Instant, out *peer.Outbox) {
	var acts quota.Outbox
	l.shares.desk.Resign(now, &acts)
	l.act(now, &acts, out)
}

// configure brings a changed configuration or membership to the desk.
func (l *Loop) configure(now model.Instant) {
	config, roster := l.config(), l.node.Membership()
	if l.shares.config == config && l.shares.roster == roster.Changes() {
		return
	}
	l.shares.config, l.shares.roster = config, roster.Changes()
	for _, m := range roster.Members() {
		if roster.Ended(m) {
			l.shares.desk.MarkDead(m.Incarnation())
		}
	}
	l.shares.desk.Configure(now, config, roster.Alive())
	l.shares.purse.plan(l.shares.desk)
}

// act carries out what the desk wants.
func (l *Loop) act(now model.Instant, acts *quota.Outbox, out *peer.Outbox) {
	for _, a := range acts.Actions() {
		switch a := a.(type) {
		case quota.Send:
			out.AddAt(a.Address(), peer.NewShare(a.Message()))
		case quota.Read:
			l.call(now, a, a.Org(), a.Op(), out)
		case quota.Swap:
			l.call(now, a, a.Org(), a.Op(), out)
		case quota.AddBatch:
			l.shares.purse.put(a.Org(), a.Batch())
		case quota.MarkExhausted:
			l.shares.purse.dry(a.Org(), a.Until())
		}
	}
}

// call queues a store call. Without room it fails at once.
func (l *Loop) call(now model.Instant, a quota.Action, org model.Org, op uint64, out *peer.Outbox) {
	select {
	case l.shares.calls <- a:
	default:
		l.settled(now, NewSettled(org, op, quota.NoAnswer{}), out)
	}
}

// survey notes the state of the shares for the next snapshot.
func (l *Loop) survey(now model.Instant) {
	l.shares.states = nil
	for _, org := range l.shares.desk.Orgs() {
		l.shares.states = append(l.shares.states, l.shares.desk.State(now, org))
	}
}
