package front

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"anvilstand/core/life"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
)

// gatePass is the passage of one request through the gate of the target beside this
// daemon. It ends once, by leave, giveUp or fail.
type gatePass struct {
	exposure *ctrl.SharedExposure
	deadline time.Time // of the request
}

// enterGate admits a request to the target beside this daemon, unless a rollout does not
// allow it there. Left is the time until the request's time limit. The error is a
// *model.Refusal.
func (f *Front) enterGate(meant string, left time.Duration) (gatePass, error) {
	plan := f.loop.View().Plan(f.prefs.Service())
	if f.loop.Exposure().Enter(plan, f.target.version(), meant) {
		return gatePass{exposure: f.loop.Exposure(), deadline: time.Now().Add(left)}, nil
	}
	return gatePass{}, model.Refuse(model.NoTarget{}, life.NotReadyRetryAfter)
}

// leave records that the target has answered the request, or never got it.
func (p gatePass) leave() { p.exposure.Leave() }

// giveUp records that the connection to the target is closed before its whole answer has
// come. The target may go on with the request until its time limit, and loses that work
// if it is stopped before.
func (p gatePass) giveUp() {
	left := time.Until(p.deadline)
	if left <= 0 {
		p.leave()
		return
	}
	time.AfterFunc(left, p.leave)
}

// fail records that the request has ended without an answer.
func (p gatePass) fail(err error) {
	if _, mayHaveRun := refusalOf(err).Run().(model.MayHaveRun); mayHaveRun {
		p.giveUp()
		return
	}
	p.leave()
}

// gatedBody is the body of a response to a request that has passed the gate.
type gatedBody struct {
	io.ReadCloser
	pass   gatePass
	whole  atomic.Bool // a read may still be in progress when the body is closed
	closed sync.Once
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole.Store(true)
	}
	return n, err
}

// Close ends the passage and closes the body.
func (b *gatedBody) Close() error {
	b.closed.Do(func() {
		if b.whole.Load() {
			b.pass.leave()
		} else {
			b.pass.giveUp()
		}
	})
	return b.ReadCloser.Close()
}
