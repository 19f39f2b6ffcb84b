package share

import "anvilstand/core/model"

// Action is what a desk wants done after a command.
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
	// Read reads an organisation's record. Desk.Loaded takes the answer.
	Read struct {
		org model.Org
		op  uint64
	}
	// Swap writes an organisation's record over a version of it.
	// Desk.Stored takes the answer.
	Swap struct {
		org     model.Org
		op      uint64
		version uint64
		record  Record
	}
	// Credit puts a lump into the daemon's purse.
	Credit struct {
		org   model.Org
		batch Lump
	}
	// Dry tells the purse that every holder is empty.
	Dry struct {
		org   model.Org
		until model.Instant
	}
)

func (Send) isAction()   {}
func (Read) isAction()   {}
func (Swap) isAction()   {}
func (Credit) isAction() {}
func (Dry) isAction()    {}

// Address returns where the message goes, as host:port.
func (s Send) Address() string { return s.address }

// Message returns the message.
func (s Send) Message() Message { return s.message }

// Org returns the organisation.
func (r Read) Org() model.Org { return r.org }

// Op returns the number that the answer carries.
func (r Read) Op() uint64 { return r.op }

// Org returns the organisation.
func (s Swap) Org() model.Org { return s.org }

// Op returns the number that the answer carries.
func (s Swap) Op() uint64 { return s.op }

// Version returns the version that the record stands at.
func (s Swap) Version() uint64 { return s.version }

// Record returns the record to write.
func (s Swap) Record() Record { return s.record }

// Org returns the organisation.
func (c Credit) Org() model.Org { return c.org }

// Lump returns the lump.
func (c Credit) Lump() Lump { return c.batch }

// Org returns the organisation.
func (m Dry) Org() model.Org { return m.org }

// Until returns when to ask again.
func (m Dry) Until() model.Instant { return m.until }

// Outbox collects actions. The zero value is empty.
type Outbox struct{ actions []Action }

// Actions returns the actions in order.
func (o *Outbox) Actions() []Action { return o.actions }

func (o *Outbox) add(a Action) { o.actions = append(o.actions, a) }
