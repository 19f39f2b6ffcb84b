package ctrl

import (
	"github.com/go-faster/errors"

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

// Seen brings the members of a failure domain.
type Seen struct {
	domain  model.Domain
	members []fleet.Member
}

// Heard brings a message of another daemon.
type Heard struct{ post peer.Post }

// Proven tells that the process recorded at an address has ended.
type Proven struct {
	address  string
	process  model.Incarnation
	evidence fleet.Evidence
}

// Depart begins the planned stop.
type Depart struct{}

func (Learned) isCommand() {}
func (Seen) isCommand()    {}
func (Heard) isCommand()   {}
func (Proven) isCommand()  {}
func (Depart) isCommand()  {}

// NewLearned returns the command that brings a change.
func NewLearned(e change.Entry) Learned { return Learned{entry: e} }

// NewSeen returns the command that brings the members of a domain.
func NewSeen(d model.Domain, members []fleet.Member) Seen { return Seen{domain: d, members: members} }

// NewHeard returns the command that brings a message.
func NewHeard(p peer.Post) Heard { return Heard{post: p} }

// NewProven returns the command that tells that a process has ended.
func NewProven(address string, process model.Incarnation, e fleet.Evidence) Proven {
	return Proven{address: address, process: process, evidence: e}
}

// ErrGap means that a change does not follow the configuration in force.
var ErrGap = errors.New("change does not follow the revision in force")

func (l *Loop) handle(c Command) error {
	switch c := c.(type) {
	case Learned:
		return l.learn(c.entry)
	case Seen:
		l.roster.Replace(c.domain, c.members)
	case Heard:
		l.hear(c.post)
	case Proven:
		l.proven(c)
	case Depart:
		l.self = l.self.AsLeaving()
	}
	return nil
}

func (l *Loop) learn(e change.Entry) error {
	now := l.config.Revision()
	if e.Revision() <= now {
		return nil
	}
	if e.Revision() != now+1 {
		return errors.Wrapf(ErrGap, "revision %d after %d", e.Revision(), now)
	}
	next, err := change.Apply(l.config, e.Batch(), e.Revision())
	if err != nil {
		return errors.Wrapf(err, "learn revision %d", e.Revision())
	}
	l.config = next
	return nil
}

// proven notes that a process has ended.
func (l *Loop) proven(c Proven) {
	l.roster.Bury(c.address, c.process)
}

// hear takes a message of another daemon.
func (l *Loop) hear(p peer.Post) {
	switch m := p.Message().(type) {
	case peer.Beat:
		if l.heard == nil {
			l.heard = map[model.Instance]model.Revision{}
		}
		l.heard[p.Peer()] = m.Revision()
	}
}

// tick does what is due.
func (l *Loop) tick(out *peer.Outbox) {
	for _, m := range l.roster.Members() {
		if m.Domain() == l.self.Domain() && m.Name() != l.self.Name() {
			out.Add(m.Name(), peer.NewBeat(l.config.Revision()))
		}
	}
}
