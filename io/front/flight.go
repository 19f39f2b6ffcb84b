package front

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"anvilstand/core/model"
)

// flights are the requests that run at the target, by the token that the
// target shows when it calls on behalf of one.
type flights struct {
	mu   sync.Mutex
	runs map[string]*flight
}

type flight struct {
	call  model.Call
	until time.Time
	// levels are those that calls below met, by service.
	levels  map[model.Service]model.Place
	refused bool // a call below was refused
}

func (f *flights) begin(call model.Call) string {
	token := randomID()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs == nil {
		f.runs = map[string]*flight{}
	}
	f.runs[token] = &flight{call: call, until: time.Now().Add(call.Left())}
	return token
}

func (f *flights) end(token string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.runs, token)
}

// child returns the call of a request that the target makes for the one it
// runs. Half of the retry budget goes with it.
func (f *flights) child(token string) (model.Call, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, ok := f.runs[token]
	if !ok {
		return model.Call{}, false
	}
	part := run.call.Budget() / 2
	run.call = run.call.WithBudget(run.call.Budget() - part)
	return run.call.WithBudget(part).WithLeft(time.Until(run.until)), true
}

// idBytes is the length of a random id.
const idBytes = 16

func randomID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
