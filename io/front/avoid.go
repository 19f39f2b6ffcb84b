package front

import (
	"sync"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Times for which a daemon gets no new work from here.
const (
	// leavingAvoidTime is that of a daemon that said that it leaves. By then the
	// membership says so.
	leavingAvoidTime = 10 * time.Second
	// refusedAvoidTime is that of a daemon whose target takes no work. Then one request
	// finds out.
	refusedAvoidTime = 500 * time.Millisecond
)

// avoidList are the daemons that said on an answer that they want no work. The zero
// value holds none.
type avoidList struct {
	mu    sync.Mutex
	until map[model.Instance]model.Instant
}

func (a *avoidList) add(now model.Instant, name model.Instance, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[model.Instance]model.Instant{}
	}
	a.until[name] = max(a.until[name], now.Add(d))
}

// markTried notes the members that are set aside as tried, unless all of them are.
func (a *avoidList) markTried(now model.Instant, members []fleet.Member, tried map[model.Instance]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, until := range a.until {
		if !now.Before(until) {
			delete(a.until, name)
		}
	}
	if len(a.until) == 0 {
		return
	}
	for _, m := range members {
		if _, ok := a.until[m.Name()]; ok {
			tried[m.Name()] = true
		}
	}
	if len(tried) == len(members) {
		clear(tried)
	}
}
