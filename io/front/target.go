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

// targetState lets traffic goroutines use a life.Target, and keeps the gate's limit
// and pace as the target's life asks.
type targetState struct {
	clock     clock.Clock
	admission *admission
	loop      *ctrl.Loop
	service   model.Service
	mu        sync.Mutex
	core      life.Target
	domainOut bool // the failure domain is out of service
}

// Follow has the target get work only while its own word says so.
func (f *Front) Follow() {
	f.target.mu.Lock()
	defer f.target.mu.Unlock()
	f.target.core.Follow(f.prefs.Service())
}

// Hear takes the target's word. It reports whether the word is of a new start
// of the target.
func (f *Front) Hear(w life.Word) bool {
	t := &f.target
	t.mu.Lock()
	fresh := t.core.Hear(t.clock.Now(), w)
	t.mu.Unlock()
	t.updateAdmission()
	return fresh
}

// Leave takes the word of a target that it leaves.
func (f *Front) Leave(id string) {
	f.target.mu.Lock()
	defer f.target.mu.Unlock()
	f.target.core.Leave(id)
}

// check refuses work that the target must not get now.
func (t *targetState) check() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Check(t.clock.Now())
}

// updateAdmission sets the gate's limit and updateAdmission.
func (t *targetState) updateAdmission() {
	t.mu.Lock()
	slots, cold := t.core.Slots(), t.core.Cold(t.clock.Now())
	t.mu.Unlock()
	rate := 0.0
	if cold {
		s, _ := t.loop.View().Config().Service(t.service)
		rate = s.Warm().Rate()
	}
	t.admission.setCapacity(slots, rate)
}

// observe notes whether the failure domain is out of service. When it is back,
// the target may have become cold meanwhile.
func (t *targetState) observe(v *ctrl.View) {
	out := v.Config().Domain(v.Self().Domain()).Out()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.domainOut && !out {
		t.core.Doubt()
	}
	t.domainOut = out
}

// id returns the target's id, empty while it is not known.
func (t *targetState) id() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.ID()
}

// noteFailure notes a request to the target that got no answer.
func (t *targetState) noteFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if _, none := refusalOf(err).Reason().(model.NoTarget); !none {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Refused(t.clock.Now())
}

// noteResponse notes an answer of the target.
func (t *targetState) noteResponse(told form.Told) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Reached()
	if told.Moved() {
		t.core.Replaced()
	}
}

// checkTarget refuses new work for the target while it must get none.
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

// recheck checks that a call that has waited may run.
func (f *Front) recheck(call model.Call) error {
	if err := f.target.check(); err != nil {
		return err
	}
	return checkKey(f.loop.View().Config(), call)
}
