// Package cells proves the promises under faults: a small fleet of whole
// daemons runs over a network in memory and in virtual time, a fault is placed
// at a step of a protocol, and what happened is checked as a history.
package cells

import (
	"sync"
	"time"

	"anvilstand/core/model"
)

// End is how a request ended for its caller.
//
//sumtype:decl
type End interface{ isEnd() }

// Members of End.
type (
	// Whole is an answer that was read to its end. It names the request that
	// it answers.
	Whole struct{ id string }
	// Refused is a refusal, with its reason and what it says of the run.
	Refused struct {
		reason string
		run    string
	}
	// Cut is a connection that failed, or an answer that broke off.
	Cut struct{ step string }
	// Unreached is a daemon that took no connection.
	Unreached struct{}
)

func (Whole) isEnd()     {}
func (Refused) isEnd()   {}
func (Cut) isEnd()       {}
func (Unreached) isEnd() {}

// Sent is a request of a caller. Times are since the start of the history.
type Sent struct {
	id    string
	org   model.Org
	key   string
	once  bool
	from  time.Duration
	until time.Duration
	end   End
}

// Ran is a run of a request at a target.
type Ran struct {
	id     string
	domain model.Domain
	from   time.Duration
	until  time.Duration
}

// Told is a command of an operator.
type Told struct {
	op    string
	text  string
	from  time.Duration
	until time.Duration
	said  Said
	rev   model.Revision
}

// Said is the outcome that an operator was told.
//
//sumtype:decl
type Said interface{ isSaid() }

// Members of Said.
type (
	// Accepted means that the change is committed.
	Accepted struct{}
	// Denied means that nothing changed.
	Denied struct{}
	// Unsure means that the change may or may not be committed.
	Unsure struct{}
)

func (Accepted) isSaid() {}
func (Denied) isSaid()   {}
func (Unsure) isSaid()   {}

// Held is the revision in force at a daemon at a time.
type Held struct {
	daemon string
	at     time.Duration
	rev    model.Revision
}

// History is what happened. It is safe for concurrent use while it is
// recorded.
type History struct {
	mu     sync.Mutex
	began  time.Time
	sent   []Sent
	ran    []Ran
	told   []Told
	held   []Held
	leaked []string
	healed time.Duration
	hit    bool
	calm   bool
	ended  time.Duration
}

func newHistory() *History { return &History{began: time.Now()} }

func (h *History) now() time.Duration { return time.Since(h.began) }

func (h *History) addSent(s Sent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, s)
}

func (h *History) addRan(r Ran) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran = append(h.ran, r)
}

func (h *History) addTold(t Told) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told = append(h.told, t)
}

func (h *History) addHeld(r Held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = append(h.held, r)
}

// leak notes a place in which a key was seen.
func (h *History) leak(place string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaked = append(h.leaked, place)
}

// strike notes that the fault was placed, and when it ends.
func (h *History) strike(lasts time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hit = true
	h.healed = max(h.healed, h.now()+lasts)
}

// runs returns the runs by request.
func (h *History) runs() map[string][]Ran {
	all := map[string][]Ran{}
	for _, r := range h.ran {
		all[r.id] = append(all[r.id], r)
	}
	return all
}
