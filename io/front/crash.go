package front

import (
	"net/http"
	"sync"

	"anvilstand/core/crash"
	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/ctrl"
)

// ward lets traffic goroutines use a crash.Ward.
type ward struct {
	clock clock.Clock
	loop  *ctrl.Loop
	mu    sync.Mutex
	core  crash.Ward
}

// enter lets a call run at the target, or refuses it.
func (w *ward) enter(id uint64, p model.Print) error {
	verdict := w.loop.View().Verdict(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Enter(id, p, verdict)
}

func (w *ward) leave(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Leave(id)
}

// failed notes that a request to the target got no answer. When its connection
// broke, the target may have died.
func (w *ward) failed(id uint64, err error) {
	if _, broken := refusalOf(err).Reason().(model.Broken); !broken {
		return
	}
	w.mu.Lock()
	death, ok := w.core.Break(w.clock.Now(), w.loop.View().Self().Name(), id)
	w.mu.Unlock()
	if ok {
		w.loop.Offer(ctrl.NewDied(death))
	}
}

// served notes an answer of the target.
func (w *ward) served(p model.Print) {
	if _, suspect := w.loop.View().Verdict(p).(crash.Suspect); suspect {
		w.loop.Offer(ctrl.NewAcquitted(p))
	}
}

// mark gives a call its fingerprint.
func mark(j job, r *http.Request, p *parcel) model.Call {
	path := string(j.service) + r.URL.EscapedPath() + "?" + r.URL.RawQuery
	return j.call.WithMark(crash.PrintOf(j.call.Org(), r.Method, path, p.held, r.ContentLength))
}
