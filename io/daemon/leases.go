package daemon

import (
	"github.com/hashicorp/go-hclog"

	"anvilstand/core/model"
	"anvilstand/core/quota"
	"anvilstand/io/ctrl"
)

// leaseState is what a daemon has of an organisation's quota lease.
type leaseState struct {
	origin quota.Origin // nil without a lease
	lapsed bool
}

// leaseLog logs and counts the quota leases that this daemon gains and loses, and those that
// lapse because neither the store nor the other daemons renew them.
type leaseLog struct {
	log    hclog.Logger
	count  func(origin string)
	states map[model.Org]leaseState
	last   []quota.State // of the previous view
}

// observe logs how the leases differ from those of the previous view.
func (l *leaseLog) observe(v *ctrl.View) {
	quotas := v.Quotas()
	if len(quotas) == len(l.last) && (len(quotas) == 0 || &quotas[0] == &l.last[0]) {
		return // most views have the same states as the one before
	}
	l.last = quotas
	states := make(map[model.Org]leaseState, len(l.states))
	for _, s := range quotas {
		before, now := l.states[s.Org()], leaseState{origin: s.Origin(), lapsed: s.Lapsed()}
		if now.origin != nil {
			states[s.Org()] = now
		}
		l.logChange(s, before, now)
	}
	l.states = states
}

func (l *leaseLog) logChange(s quota.State, before, now leaseState) {
	switch {
	case now.origin != nil && before.origin == nil:
		origin := quota.OriginName(now.origin)
		l.count(origin)
		l.log.Info("lease", "state", "held", "org", s.Org(), "origin", origin, "before", s.Predecessor().Name(), "address", s.Predecessor().Address())
	case now.origin == nil && before.origin != nil:
		l.log.Info("lease", "state", "given up", "org", s.Org())
	case now.lapsed && !before.lapsed:
		l.log.Warn("lease", "state", "lapsed", "org", s.Org())
	case before.lapsed && !now.lapsed:
		l.log.Info("lease", "state", "renewed", "org", s.Org())
	}
}

// countLapsed returns the number of leases that this daemon has and that have lapsed.
func countLapsed(v *ctrl.View) int {
	n := 0
	for _, s := range v.Quotas() {
		if s.Lapsed() {
			n++
		}
	}
	return n
}
