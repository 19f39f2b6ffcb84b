// Package peer defines the control messages that daemons send each other: gossip,
// quota leases and crash reports. It decides nothing; their encoding and transport
// are in other packages.
package peer

import "anvilstand/core/model"

// Message is a control message between two daemons. A message may be lost,
// delayed, duplicated or reordered.
//
//sumtype:decl
type Message interface{ isMessage() }

// Envelope is a message with the daemon that it goes to or comes from.
type Envelope struct {
	peer    model.Instance
	address string
	message Message
	from    model.Incarnation
}

// NewEnvelope returns a message with the daemon that it goes to or comes from.
func NewEnvelope(peer model.Instance, m Message) Envelope { return Envelope{peer: peer, message: m} }

// Peer returns the instance of the daemon at the other end. It is empty in a
// message that goes to an address.
func (e Envelope) Peer() model.Instance { return e.peer }

// Address returns where the daemon at the other end listens for its peers, as
// host:port. It is empty if the address has to be looked up in the membership.
func (e Envelope) Address() string { return e.address }

// WithAddress returns the message with the address of the daemon at the other
// end, as host:port.
func (e Envelope) WithAddress(address string) Envelope {
	e.address = address
	return e
}

// Incarnation returns the incarnation of the process that sent the message. It is
// zero in a message that has not been sent yet.
func (e Envelope) Incarnation() model.Incarnation { return e.from }

// WithIncarnation returns the message as sent by the process with incarnation i.
func (e Envelope) WithIncarnation(i model.Incarnation) Envelope {
	e.from = i
	return e
}

// Message returns the message itself.
func (e Envelope) Message() Message { return e.message }

// Outbox collects messages to send. The zero value is empty.
type Outbox struct{ list []Envelope }

// Add appends a message to a daemon, whose address is looked up in the
// membership.
func (o *Outbox) Add(to model.Instance, m Message) { o.list = append(o.list, NewEnvelope(to, m)) }

// AddAt appends a message to whichever daemon listens at an address
// (host:port).
func (o *Outbox) AddAt(address string, m Message) {
	o.list = append(o.list, NewEnvelope("", m).WithAddress(address))
}

// Answer appends a message to the daemon that e came from.
func (o *Outbox) Answer(e Envelope, m Message) {
	o.list = append(o.list, NewEnvelope(e.peer, m).WithAddress(e.address))
}

// Envelopes returns the messages in the order in which they were added.
func (o *Outbox) Envelopes() []Envelope { return o.list }
