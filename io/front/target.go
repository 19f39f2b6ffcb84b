package front

import (
	"context"
	"sync"

	"anvilstand/core/life"
	"anvilstand/core/model"
	"anvilstand/core/ramp"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
)

// targetState lets concurrent requests use a life.Target, which decides by the
// target's own reports whether it may get work. It sets the concurrency limit and
// the warm-up rate of the admission from the reported slots and warm-up time.
type targetState struct {
	clock     clock.Clock
	admission *admission
	loop      *ctrl.Loop
	service   model.Service
	mu        sync.Mutex
	core      life.Target
	domainOut bool // the failure domain is out of service
}

// RequireTargetStatus makes the target get work only while the status that it
// reports itself allows that. It waits for RestoreTarget.
func (f *Front) RequireTargetStatus() {
	f.target.mu.Lock()
	defer f.target.mu.Unlock()
	f.target.core.RequireStatus(f.prefs.Service())
	f.target.core.AwaitStops()
}

// RestoreTarget takes the stops of the target that earlier processes recorded.
func (f *Front) RestoreTarget(h life.StopHistory) {
	f.target.mu.Lock()
	defer f.target.mu.Unlock()
	f.target.core.Restore(h)
}

// UpdateTarget records a status that the target reported. It returns true for the
// first status after a start of the target.
func (f *Front) UpdateTarget(status life.Status) bool {
	t := &f.target
	t.mu.Lock()
	restarted := t.core.Update(t.clock.Now(), status)
	t.mu.Unlock()
	t.applyCapacity()
	return restarted
}

// DeregisterTarget records that a start of the target has deregistered. It returns the
// stop with that start, if it is known.
func (f *Front) DeregisterTarget(s life.Stop) life.Stop {
	f.target.mu.Lock()
	defer f.target.mu.Unlock()
	s = f.target.core.Resolve(s)
	f.target.core.Deregister(s)
	return s
}

// check refuses work while the target's status allows none, and while the target is
// cold and its warm-up rate is not known because there is no configuration yet. The
// reason is NoTarget or Leaving.
func (t *targetState) check() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.core.IsCold(now) && t.loop.View().Config().Revision() == 0 {
		return model.Refuse(model.NoTarget{}, life.NotReadyRetryAfter)
	}
	return t.core.Check(now)
}

// applyCapacity passes the target's slots on to the admission and, while the target is
// cold, the warm-up rate that is configured for its service. Without such a rate the
// admission derives how much work a cold target can take.
func (t *targetState) applyCapacity() {
	t.mu.Lock()
	slots, cause := t.core.Slots(), t.coldness(t.clock.Now())
	t.mu.Unlock()
	cfg := t.loop.View().Config()
	s, _ := cfg.Service(t.service)
	rate, isConfigured := s.Warmup().Rate(), s.Warmup().Rate() > 0 || cfg.Revision() == 0
	if cause == nil {
		rate = 0
	}
	t.admission.setCapacity(slots, rate, cause, !isConfigured)
}

// coldness returns why the target is cold, nil if it is not.
func (t *targetState) coldness(now model.Instant) ramp.Cause {
	if !t.core.IsCold(now) {
		return nil
	}
	if started, ok := t.core.ColdByStatus(now); ok {
		return ramp.NewCold(started)
	}
	return ramp.Failed{}
}

// observeDomain records whether the failure domain is out of service. When the domain
// returns, the target may have become cold in the meantime.
func (t *targetState) observeDomain(v *ctrl.View) {
	out := v.Config().Domain(v.Self().Domain()).Out()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.domainOut && !out {
		t.core.AssumeCold()
	}
	t.domainOut = out
}

// TargetVersion returns the version that the target beside this daemon reports, empty
// if none is known.
func (f *Front) TargetVersion() string { return f.target.version() }

func (t *targetState) version() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Version()
}

// id returns the target's id, empty while it is not known.
func (t *targetState) id() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.ID()
}

// noteFailure records that no connection to the target could be opened. It
// ignores other failures and requests whose context has ended.
func (t *targetState) noteFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if _, noTarget := refusalOf(err).Reason().(model.NoTarget); !noTarget {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.ConnectFailed(t.clock.Now())
}

// noteResponse records a response of the target.
func (t *targetState) noteResponse(info form.ResponseInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Connected()
	if info.OtherTarget() {
		t.core.OtherTargetAnswered()
	}
}

// checkTarget refuses new work while the target's responses say that it drains,
// its failure domain is out of service or its status allows none.
func (f *Front) checkTarget() error {
	if err := f.targetDrain.check(); err != nil {
		return err
	}
	if f.loop.View().Config().Domain(f.prefs.Domain()).Out() {
		return model.Refuse(model.DomainOut{}, 0)
	}
	f.target.applyCapacity()
	return f.target.check()
}

// recheck checks again, after the wait for admission, that the target's status
// allows a call and that its key has not been withdrawn. A request that was queued
// before the domain went out of service, or before a response said that the target
// drains, still runs.
func (f *Front) recheck(call model.Call) error {
	if err := f.target.check(); err != nil {
		return err
	}
	return checkKey(f.loop.View().Config(), call)
}
