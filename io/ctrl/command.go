package ctrl

import (
	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Command changes the control state. It is answered by nil or an error.
//
//sumtype:decl
type Command interface{ isCommand() }

// Learned brings a committed change of the configuration.
type Learned struct{ entry change.Entry }

// Based brings a whole configuration.
type Based struct{ base change.Snapshot }

// Seen brings the record of a failure domain's members.
type Seen struct{ roll fleet.MemberList }

// Reached tells that the store answered.
type Reached struct{}

// Refused tells that a value in the store does not read.
type Refused struct{}

// Written tells the revision of the newest base in the store.
type Written struct{ revision model.Revision }

// Heard brings a message of another daemon.
type Heard struct{ post peer.Envelope }

// Proven tells that the process recorded at an address has ended.
type Proven struct {
	address  string
	process  model.Incarnation
	evidence fleet.Evidence
}

// Depart begins the planned stop.
type Depart struct{}

func (Learned) isCommand() {}
func (Based) isCommand()   {}
func (Seen) isCommand()    {}
func (Reached) isCommand() {}
func (Refused) isCommand() {}
func (Written) isCommand() {}
func (Heard) isCommand()   {}
func (Proven) isCommand()  {}
func (Depart) isCommand()  {}

// NewLearned returns the command that brings a change.
func NewLearned(e change.Entry) Learned { return Learned{entry: e} }

// NewBased returns the command that brings a whole configuration.
func NewBased(b change.Snapshot) Based { return Based{base: b} }

// NewSeen returns the command that brings a record of members.
func NewSeen(r fleet.MemberList) Seen { return Seen{roll: r} }

// NewWritten returns the command that tells the newest base.
func NewWritten(rev model.Revision) Written { return Written{revision: rev} }

// NewHeard returns the command that brings a message.
func NewHeard(p peer.Envelope) Heard { return Heard{post: p} }

// NewProven returns the command that tells that a process has ended.
func NewProven(address string, process model.Incarnation, e fleet.Evidence) Proven {
	return Proven{address: address, process: process, evidence: e}
}

// handle takes a command. What it has to tell other daemons goes to out.
func (l *Loop) handle(now model.Instant, c Command, out *peer.Outbox) error {
	switch c := c.(type) {
	case Configured:
		l.given.configure(c.config)
	case Evacuated:
		l.given.evacuate(c.out)
	case Learned:
		return l.node.TakeEntry(now, c.entry, out)
	case Based:
		return l.node.TakeSnapshot(c.base)
	case Seen:
		l.node.TakeMemberList(now, c.roll, out)
	case Reached:
		l.node.StoreReached(now)
	case Refused:
		l.refused++
	case Written:
		l.written = max(l.written, c.revision)
	case Heard:
		return l.hear(now, c.post, out)
	case Proven:
		l.node.ConfirmEnded(now, c.address, c.process, out)
		l.shares.desk.MarkDead(c.process)
	case Depart:
		l.node.Leave(now, out)
		l.resign(now, out)
	case Died:
		l.died(now, c.death, out)
	case Acquitted:
		l.acquit(c.mark)
	case Recorded:
		l.recorded(now, c, out)
	case Settled:
		l.settled(now, c, out)
	}
	return nil
}

// hear takes a message of another daemon.
func (l *Loop) hear(now model.Instant, p peer.Envelope, out *peer.Outbox) error {
	switch m := p.Message().(type) {
	case peer.CrashReport:
		l.accuse(now, m.Death())
	case peer.Share:
		l.hearShare(now, m, out)
	case peer.Heartbeat, peer.SyncRequest, peer.Entries, peer.SnapshotChunk, peer.MemberDelta, peer.Announce, peer.Down:
	}
	return l.node.Receive(now, p, out)
}

// tick does what is due.
func (l *Loop) tick(now model.Instant, out *peer.Outbox) {
	l.node.Tick(now, out)
}
