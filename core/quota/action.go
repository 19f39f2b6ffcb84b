package quota

import "anvilstand/core/model"

// Action is what a Manager wants done after a command: a message sent, a store
// call made, or the token cache changed.
//
//sumtype:decl
type Action interface{ isAction() }

// Members of Action.
type (
	// Send sends a message to the daemon at an address.
	Send struct {
		address string
		message Message
	}
	// Read reads an organisation's record from the store. The answer goes to
	// Manager.HandleRead, a failure to Manager.HandleOutcome.
	Read struct {
		org model.Org
		op  uint64
	}
	// Swap replaces an organisation's record in the store if it still has the
	// given version. The answer goes to Manager.HandleOutcome.
	Swap struct {
		org     model.Org
		op      uint64
		version uint64
		record  Record
	}
	// ReadMembers reads the member list of this daemon's domain from the store. The list
	// goes to Manager.Configure like any other, and then the end of the call to
	// Manager.HandleMembersRead.
	ReadMembers struct{ op uint64 }
	// AddBatch adds a batch to the daemon's token cache.
	AddBatch struct {
		org   model.Org
		batch Batch
	}
	// MarkExhausted tells the token cache that no holder has a token left.
	MarkExhausted struct {
		org   model.Org
		until model.Instant
	}
)

func (Send) isAction()          {}
func (Read) isAction()          {}
func (Swap) isAction()          {}
func (ReadMembers) isAction()   {}
func (AddBatch) isAction()      {}
func (MarkExhausted) isAction() {}

// Address returns the destination as host:port.
func (s Send) Address() string { return s.address }

// Message returns the message to send.
func (s Send) Message() Message { return s.message }

// Org returns the organisation whose record is read.
func (r Read) Org() model.Org { return r.org }

// Op returns the number of the store call, which the answer must carry.
func (r Read) Op() uint64 { return r.op }

// Org returns the organisation whose record is written.
func (s Swap) Org() model.Org { return s.org }

// Op returns the number of the store call, which the answer must carry.
func (s Swap) Op() uint64 { return s.op }

// Version returns the version that the record must have in the store, or zero
// when there must be no record.
func (s Swap) Version() uint64 { return s.version }

// Record returns the record to write.
func (s Swap) Record() Record { return s.record }

// Op returns the number of the store call, which the answer must carry.
func (r ReadMembers) Op() uint64 { return r.op }

// Org returns the organisation that the tokens are for.
func (a AddBatch) Org() model.Org { return a.org }

// Batch returns the batch to add.
func (a AddBatch) Batch() Batch { return a.batch }

// Org returns the organisation without tokens.
func (m MarkExhausted) Org() model.Org { return m.org }

// Until returns when the holders are asked again.
func (m MarkExhausted) Until() model.Instant { return m.until }

// Outbox collects actions. The zero value is empty.
type Outbox struct{ actions []Action }

// Actions returns the actions in the order in which they are to be done.
func (o *Outbox) Actions() []Action { return o.actions }

func (o *Outbox) add(a Action) { o.actions = append(o.actions, a) }
