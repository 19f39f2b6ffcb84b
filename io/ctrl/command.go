package ctrl

import (
	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Command is handled by the control goroutine and may change the control state:
// it reports something that happened outside, or starts the planned stop.
// Handling it results in nil or an error.
//
//sumtype:decl
type Command interface{ isCommand() }

// EntryCommitted carries a committed entry of the configuration history.
type EntryCommitted struct{ entry change.Entry }

// SnapshotRead carries a snapshot of the configuration.
type SnapshotRead struct{ snapshot change.Snapshot }

// MemberListRead carries the member list of a failure domain, as stored.
type MemberListRead struct {
	list    fleet.MemberList
	damaged bool
}

// StoreReached reports that the store answered.
type StoreReached struct{}

// ValueRefused reports a value in the store, or a configuration kept outside of
// anvilstand, that could not be decoded. It is only counted.
type ValueRefused struct{}

// SnapshotWritten carries the revision of the newest snapshot in the store.
type SnapshotWritten struct{ revision model.Revision }

// MessageReceived carries a message of another daemon.
type MessageReceived struct{ message peer.Envelope }

// ProcessEnded carries evidence that the process recorded at an address may have
// ended.
type ProcessEnded struct {
	address     string
	incarnation model.Incarnation
	evidence    fleet.Evidence
}

// Leave begins the planned stop: the daemon announces that it is leaving and
// resigns its quota leases.
type Leave struct{}

func (EntryCommitted) isCommand()  {}
func (SnapshotRead) isCommand()    {}
func (MemberListRead) isCommand()  {}
func (StoreReached) isCommand()    {}
func (ValueRefused) isCommand()    {}
func (SnapshotWritten) isCommand() {}
func (MessageReceived) isCommand() {}
func (ProcessEnded) isCommand()    {}
func (Leave) isCommand()           {}

// NewEntryCommitted returns the command for a committed entry. Handling it fails
// when the entry leaves a gap or has no effect.
func NewEntryCommitted(e change.Entry) EntryCommitted { return EntryCommitted{entry: e} }

// NewSnapshotRead returns the command for a snapshot. Handling it has no effect
// unless the snapshot is newer than the configuration in force.
func NewSnapshotRead(s change.Snapshot) SnapshotRead { return SnapshotRead{snapshot: s} }

// NewMemberListRead returns the command for a member list. Handling it changes the
// membership only if the list is newer than the known one.
func NewMemberListRead(list fleet.MemberList) MemberListRead { return MemberListRead{list: list} }

// AsDamaged returns the command for a list of which something did not decode, so that
// the stored value has to be replaced.
func (c MemberListRead) AsDamaged() MemberListRead {
	c.damaged = true
	return c
}

// NewSnapshotWritten returns the command for the revision of the newest snapshot in the
// store.
func NewSnapshotWritten(rev model.Revision) SnapshotWritten { return SnapshotWritten{revision: rev} }

// NewMessageReceived returns the command for a message of another daemon.
// Handling it fails when an entry or a snapshot in the message is refused.
func NewMessageReceived(m peer.Envelope) MessageReceived { return MessageReceived{message: m} }

// NewProcessEnded returns the command for evidence about the process that is recorded
// at an address, host:port.
func NewProcessEnded(address string, incarnation model.Incarnation, e fleet.Evidence) ProcessEnded {
	return ProcessEnded{address: address, incarnation: incarnation, evidence: e}
}

// handle handles a command. It adds messages to other daemons to out.
func (l *Loop) handle(now model.Instant, c Command, out *peer.Outbox) error {
	switch c := c.(type) {
	case Configured:
		l.external.configure(c.config)
	case Evacuated:
		l.external.evacuate(c.out)
	case Confirmed:
		l.node.NoteExternal(now, c.version, out)
	case EntryCommitted:
		return l.node.TakeEntry(now, c.entry, out)
	case SnapshotRead:
		return l.node.TakeSnapshot(c.snapshot)
	case MemberListRead:
		l.takeMemberList(now, c, out)
	case StoreReached:
		l.node.StoreReached(now)
	case ValueRefused:
		l.refusedValues++
	case SnapshotWritten:
		l.snapshotRevision = max(l.snapshotRevision, c.revision)
	case MessageReceived:
		return l.receive(now, c.message, out)
	case ProcessEnded:
		l.handleEvidence(now, c, out)
	case Leave:
		l.leave(now, out)
	case TargetCrashed:
		l.handleCrash(now, c.report, out)
	case quotaCommand:
		l.handleQuota(now, c, out)
	case rolloutCommand:
		l.handleRollout(now, c, out)
	}
	return nil
}

// takeMemberList takes a member list that was read from the store.
func (l *Loop) takeMemberList(now model.Instant, c MemberListRead, out *peer.Outbox) {
	l.node.TakeMemberList(now, c.list, out)
	if c.damaged {
		l.node.NoteDamaged(now, c.list)
	}
}

// leave begins the planned stop.
func (l *Loop) leave(now model.Instant, out *peer.Outbox) {
	l.node.Leave(now, out)
	l.resignLeases(now, out)
}

// handleEvidence handles evidence that a process may have ended. Only proof lets
// its quota leases be claimed: they may be in use behind a network that refuses
// connections.
func (l *Loop) handleEvidence(now model.Instant, c ProcessEnded, out *peer.Outbox) {
	switch c.evidence.(type) {
	case fleet.Refused:
		l.node.NoteRefused(now, c.address, c.incarnation, out)
	case fleet.Replaced:
		l.node.ConfirmEnded(now, c.address, c.incarnation, out)
		// Its leases may be claimed even if no member list names the process.
		l.quotas.manager.MarkEnded(c.incarnation)
	}
}

// receive handles a message of another daemon. The gossip node gets every
// message, as each one shows that its sender is alive.
func (l *Loop) receive(now model.Instant, e peer.Envelope, out *peer.Outbox) error {
	switch m := e.Message().(type) {
	case peer.CrashReport:
		l.crashes.addReport(now, m.Report())
	case peer.Quota:
		l.handleQuotaMessage(now, m, out)
	case peer.Rollout:
		l.receiveRollout(now, e, m, out)
	case peer.Heartbeat, peer.SyncRequest, peer.Entries, peer.SnapshotChunk, peer.MemberDelta, peer.Announce, peer.Down, peer.Refusal:
	}
	return l.node.Receive(now, e, out)
}

// tickNode sends the heartbeats that are due and detects members that do not
// answer.
func (l *Loop) tickNode(now model.Instant, out *peer.Outbox) {
	l.node.Tick(now, out)
}
