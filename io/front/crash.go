package front

import (
	"net/http"
	"sync"

	"anvilstand/core/crash"
	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
)

// inFlight lets concurrent requests use a crash.InFlight.
type inFlight struct {
	clock clock.Clock
	loop  *ctrl.Loop
	mu    sync.Mutex
	core  crash.InFlight
}

// start lets a call run at the target, or refuses it because it may crash the
// target.
func (t *inFlight) start(id uint64, p model.Fingerprint) error {
	verdict := t.loop.View().CrashState(p)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Start(id, p, verdict)
}

func (t *inFlight) finish(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Finish(id)
}

// noteFailure records that a request to the target got no response. If its
// connection broke, the target may have crashed.
func (t *inFlight) noteFailure(id uint64, err error) {
	if _, broken := refusalOf(err).Reason().(model.Broken); !broken {
		return
	}
	t.mu.Lock()
	death, ok := t.core.ConnBroken(t.clock.Now(), t.loop.View().Self().Name(), id)
	t.mu.Unlock()
	if ok {
		t.loop.Post(ctrl.NewTargetCrashed(death))
	}
}

// noteServed clears a suspect request after the target has answered it.
func (t *inFlight) noteServed(p model.Fingerprint) {
	if _, suspect := t.loop.View().CrashState(p).(crash.Suspect); suspect {
		t.loop.Post(ctrl.NewCleared(p))
	}
}

// withFingerprint returns the job's call with the fingerprint of its request.
func withFingerprint(j job, r *http.Request, p *payload) model.Call {
	path := string(j.service) + r.URL.EscapedPath() + "?" + r.URL.RawQuery
	return j.call.WithFingerprint(crash.FingerprintOf(j.call.Org(), r.Method, path, p.buffered, r.ContentLength))
}
