package front

import (
	"context"
	"sync"

	"anvilstand/core/life"
	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
	"anvilstand/io/form"
)

// targetState lets concurrent requests use a life.Target. It sets the
// concurrency limit and the warm-up rate of the admission from the target's
// state.
type targetState struct {
	clock     clock.Clock
	admission *admission
	loop      *ctrl.Loop
	service   model.Service
	mu        sync.Mutex
	core      life.Target
	domainOut bool // the failure domain is out of service
}

// RequireTargetStatus makes the target get work only while its own reported status allows
// it.
func (f *Front) RequireTargetStatus() {
	f.target.mu.Lock()
	defer f.target.mu.Unlock()
	f.target.core.RequireStatus(f.prefs.Service())
}

// UpdateTarget records a status that the target reported. It returns true for the first
// status after a start of the target.
func (f *Front) UpdateTarget(status life.Status) bool {
	t := &f.target
	t.mu.Lock()
	restarted := t.core.Update(t.clock.Now(), status)
	t.mu.Unlock()
	t.updateAdmission()
	return restarted
}

// DeregisterTarget records that the target with this id has deregistered.
func (f *Front) DeregisterTarget(id string) {
	f.target.mu.Lock()
	defer f.target.mu.Unlock()
	f.target.core.Deregister(id)
}

// check refuses work that the target must not get now.
func (t *targetState) check() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Check(t.clock.Now())
}

// updateAdmission sets the concurrency limit, and the warm-up rate while the
// target is cold.
func (t *targetState) updateAdmission() {
	t.mu.Lock()
	slots, cold := t.core.Slots(), t.core.IsCold(t.clock.Now())
	t.mu.Unlock()
	rate := 0.0
	if cold {
		s, _ := t.loop.View().Config().Service(t.service)
		rate = s.Warmup().Rate()
	}
	t.admission.setCapacity(slots, rate)
}

// observe records whether the failure domain is out of service. When the domain
// returns, the target may have become cold in the meantime.
func (t *targetState) observe(v *ctrl.View) {
	out := v.Config().Domain(v.Self().Domain()).Out()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.domainOut && !out {
		t.core.AssumeCold()
	}
	t.domainOut = out
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
	if _, none := refusalOf(err).Reason().(model.NoTarget); !none {
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
		t.core.Replaced()
	}
}

// checkTarget refuses new work while the target drains, its failure domain is
// out of service or its status allows none.
func (f *Front) checkTarget() error {
	if err := f.targetDrain.check(); err != nil {
		return err
	}
	if f.loop.View().Config().Domain(f.prefs.Domain()).Out() {
		return model.Refuse(model.DomainOut{}, 0)
	}
	f.target.updateAdmission()
	return f.target.check()
}

// recheck checks again, after the wait for admission, that a call may run.
func (f *Front) recheck(call model.Call) error {
	if err := f.target.check(); err != nil {
		return err
	}
	return checkKey(f.loop.View().Config(), call)
}
