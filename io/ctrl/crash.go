package ctrl

import (
	"anvilstand/core/crash"
	"anvilstand/core/model"
	"anvilstand/core/peer"
)

// TargetCrashed reports that the target beside this daemon broke its
// connections.
type TargetCrashed struct{ report crash.Report }

// Cleared reports that the target began to respond to a suspect request.
type Cleared struct{ fingerprint model.Fingerprint }

func (TargetCrashed) isCommand() {}
func (Cleared) isCommand()       {}

// NewTargetCrashed returns the command for a crash of the target beside this daemon.
func NewTargetCrashed(r crash.Report) TargetCrashed { return TargetCrashed{report: r} }

// NewCleared returns the command that clears a suspect request.
func NewCleared(p model.Fingerprint) Cleared { return Cleared{fingerprint: p} }

// handleCrash records a crash of the target beside this daemon and reports it
// to the other daemons of the service.
func (l *Loop) handleCrash(now model.Instant, r crash.Report, out *peer.Outbox) {
	l.addReport(now, r)
	self := l.node.Self()
	for _, m := range l.serving.byService[self.Service()] {
		if m.Name() != self.Name() {
			out.Add(m.Name(), peer.NewCrashReport(r))
		}
	}
}

// addReport records a crash. It changes a copy of the tracker, because views
// refer to the old one.
func (l *Loop) addReport(now model.Instant, r crash.Report) {
	l.crashes = l.crashes.Clone()
	l.crashes.AddReport(now, r)
}

func (l *Loop) clearSuspect(p model.Fingerprint) {
	l.crashes = l.crashes.Clone()
	l.crashes.MarkServed(p)
}

// CrashState returns whether a request to the target beside this daemon is clear,
// suspect or poison.
func (v *View) CrashState(p model.Fingerprint) crash.State { return v.crashes.State(v.clock.Now(), p) }
