package ctrl

import (
	"anvilstand/core/crash"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// Died tells that the target beside this daemon broke its connections.
type Died struct{ death crash.Report }

// Acquitted tells that a suspect request was served whole.
type Acquitted struct{ mark model.Fingerprint }

func (Died) isCommand()      {}
func (Acquitted) isCommand() {}

// NewDied returns the command that tells a death.
func NewDied(d crash.Report) Died { return Died{death: d} }

// NewCleared returns the command that clears a suspect.
func NewCleared(p model.Fingerprint) Acquitted { return Acquitted{mark: p} }

// died takes a death of the own target and tells it to the service.
func (l *Loop) died(now model.Instant, d crash.Report, out *peer.Outbox) {
	l.accuse(now, d)
	self := l.node.Self()
	for _, m := range l.routes.byService[self.Service()] {
		if m.Name() != self.Name() {
			out.Add(m.Name(), peer.NewCrashReport(d))
		}
	}
}

// accuse takes a death. The book that views hold is not changed.
func (l *Loop) accuse(now model.Instant, d crash.Report) {
	l.crash = l.crash.Clone()
	l.crash.AddReport(now, d)
}

func (l *Loop) acquit(p model.Fingerprint) {
	l.crash = l.crash.Clone()
	l.crash.MarkServed(p)
}

// Verdict returns what is held of a request to the target beside this daemon.
func (v *View) Verdict(p model.Fingerprint) crash.State { return v.crash.State(v.clock.Now(), p) }
