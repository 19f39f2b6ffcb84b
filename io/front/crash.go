package front

import (
	"net/http"
	"sync"

	"anvilstand/core/crash"
	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
)

// crashWatch lets concurrent requests use a crash.InFlight. It knows the requests
// that are at the target, to find those that crash it.
type crashWatch struct {
	clock clock.Clock
	loop  *ctrl.Loop
	mu    sync.Mutex
	core  crash.InFlight
}

// start lets a call run at the target, or refuses it because it may crash the
// target.
func (c *crashWatch) start(id uint64, fp model.Fingerprint) error {
	state := c.loop.Crashes().State(fp)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Start(id, fp, state)
}

func (c *crashWatch) finish(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.Finish(id)
}

// noteFailure records that a request to the target got no response. If its
// connection broke after it was sent, the target may have crashed.
func (c *crashWatch) noteFailure(id uint64, err error) {
	refusal := refusalOf(err)
	_, broken := refusal.Reason().(model.Broken)
	if _, sent := refusal.Run().(model.MayHaveRun); !broken || !sent {
		return
	}
	c.mu.Lock()
	report, ok := c.core.ConnBroken(c.clock.Now(), c.loop.View().Self().Name(), id)
	c.mu.Unlock()
	if ok {
		c.loop.Post(ctrl.NewTargetCrashed(report))
	}
}

// noteServed clears a request when the target begins to respond to it.
func (c *crashWatch) noteServed(fp model.Fingerprint) {
	c.loop.Crashes().MarkServed(fp)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.MarkServed(fp)
}

// withFingerprint returns the job's call with the fingerprint of its request.
func withFingerprint(j job, r *http.Request, p *payload) model.Call {
	path := string(j.service) + r.URL.EscapedPath() + "?" + r.URL.RawQuery
	return j.call.WithFingerprint(crash.FingerprintOf(j.keyOrg, r.Method, path, p.buffered, r.ContentLength))
}
