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

// beside lets traffic goroutines use a life.Target, and keeps the gate's limit
// and pace as the target's life asks.
type beside struct {
	clock   clock.Clock
	gate    *gate
	loop    *ctrl.Loop
	service model.Service
	mu      sync.Mutex
	core    life.Target
	out     bool // the failure domain is out of service
}

// Follow has the target get work only while its own word says so.
func (f *Front) Follow() {
	f.beside.mu.Lock()
	defer f.beside.mu.Unlock()
	f.beside.core.Follow(f.prefs.Service())
}

// Hear takes the target's word. It reports whether the word is of a new start
// of the target.
func (f *Front) Hear(w life.Word) bool {
	b := &f.beside
	b.mu.Lock()
	fresh := b.core.Hear(b.clock.Now(), w)
	b.mu.Unlock()
	b.pace()
	return fresh
}

// Leave takes the word of a target that it leaves.
func (f *Front) Leave(id string) {
	f.beside.mu.Lock()
	defer f.beside.mu.Unlock()
	f.beside.core.Leave(id)
}

// check refuses work that the target must not get now.
func (b *beside) check() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Check(b.clock.Now())
}

// pace sets the gate's limit and pace.
func (b *beside) pace() {
	b.mu.Lock()
	slots, cold := b.core.Slots(), b.core.Cold(b.clock.Now())
	b.mu.Unlock()
	rate := 0.0
	if cold {
		s, _ := b.loop.View().Config().Service(b.service)
		rate = s.Warm().Rate()
	}
	b.gate.told(slots, rate)
}

// observe notes whether the failure domain is out of service. When it is back,
// the target may have become cold meanwhile.
func (b *beside) observe(v *ctrl.View) {
	out := v.Config().Domain(v.Self().Domain()).Out()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.out && !out {
		b.core.Doubt()
	}
	b.out = out
}

// id returns the target's id, empty while it is not known.
func (b *beside) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ID()
}

// failed notes a request to the target that got no answer.
func (b *beside) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if _, none := refusalOf(err).Reason().(model.NoTarget); !none {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Refused(b.clock.Now())
}

// answered notes an answer of the target.
func (b *beside) answered(t form.Told) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Reached()
	if t.Moved() {
		b.core.Replaced()
	}
}

// closed refuses new work for the target while it must get none.
func (f *Front) closed() error {
	if err := f.drain.check(); err != nil {
		return err
	}
	if f.loop.View().Config().Domain(f.prefs.Domain()).Out() {
		return model.Refuse(model.DomainOut{}, 0)
	}
	f.beside.pace()
	return f.beside.check()
}

// still checks that a call that has waited may run.
func (f *Front) still(call model.Call) error {
	if err := f.beside.check(); err != nil {
		return err
	}
	return granted(f.loop.View().Config(), call)
}
