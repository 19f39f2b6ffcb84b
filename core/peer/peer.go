// Package peer holds the control messages that daemons send each other. How
// they are encoded and carried is not known here.
package peer

import "anvilstand/core/model"

// Message is a control message between two daemons. A message may be lost,
// late, doubled or out of order.
//
//sumtype:decl
type Message interface{ isMessage() }

// Post is a message on its way to a daemon, or from one.
type Post struct {
	peer    model.Instance
	address string
	message Message
	from    model.Incarnation
}

// NewPost returns a message with the daemon it goes to or comes from.
func NewPost(peer model.Instance, m Message) Post { return Post{peer: peer, message: m} }

// Peer returns the daemon at the other end.
func (p Post) Peer() model.Instance { return p.peer }

// Address returns where the daemon at the other end listens for its peers. It
// is empty when the membership tells it.
func (p Post) Address() string { return p.address }

// WithAddress returns the message with the other daemon's address.
func (p Post) WithAddress(address string) Post {
	p.address = address
	return p
}

// From returns the process that sent the message. It is zero in a message that
// has not been sent yet.
func (p Post) From() model.Incarnation { return p.from }

// WithFrom returns the message as sent by a process.
func (p Post) WithFrom(i model.Incarnation) Post {
	p.from = i
	return p
}

// Message returns the message.
func (p Post) Message() Message { return p.message }

// Outbox collects messages to send. The zero value is empty.
type Outbox struct{ posts []Post }

// Add appends a message to a daemon.
func (o *Outbox) Add(to model.Instance, m Message) { o.posts = append(o.posts, NewPost(to, m)) }

// AddAt appends a message to the daemon at an address.
func (o *Outbox) AddAt(address string, m Message) {
	o.posts = append(o.posts, NewPost("", m).WithAddress(address))
}

// Answer appends a message to the sender of a post.
func (o *Outbox) Answer(p Post, m Message) {
	o.posts = append(o.posts, NewPost(p.peer, m).WithAddress(p.address))
}

// Posts returns the messages in order.
func (o *Outbox) Posts() []Post { return o.posts }
