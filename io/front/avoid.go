package front

import (
	"sync"
	"time"

	"anvilstand/core/fleet"
	"anvilstand/core/model"
)

// Times for which a daemon gets no new requests from here.
const (
	// drainingAvoidTime applies to a daemon that announced that it drains. By
	// the time it ends, the membership says so too.
	drainingAvoidTime = 10 * time.Second
	// refusedAvoidTime applies to a daemon whose target takes no work. The next
	// request then finds out whether it still takes none.
	refusedAvoidTime = 500 * time.Millisecond
)

// avoidList holds the daemons that get no new requests from here for a while,
// because they drain or their target takes no work. The zero value is empty.
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

// markTried marks the members on the list as tried, unless that leaves no member
// to try.
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
