package front

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// flights are the requests that run at the target, by the token that the
// target shows when it calls on behalf of one.
type flights struct {
	mu   sync.Mutex
	runs map[string]*flight
}

type flight struct {
	call   model.Call
	budget retry.Budget
	until  time.Time
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
	f.runs[token] = &flight{call: call, budget: retry.NewBudget(call.Budget()), until: time.Now().Add(call.Left())}
	return token
}

// sample returns the place of one of the requests that run, any of them.
func (f *flights) sample() (model.Place, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, run := range f.runs {
		return run.call.Place(), true
	}
	return 0, false
}

// end forgets a request and returns the retries that it did not spend.
func (f *flights) end(token string) int {
	left := f.settle(token)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.runs, token)
	return left
}

// settle takes the unspent retries out of a request whose answer begins.
func (f *flights) settle(token string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, ok := f.runs[token]
	if !ok {
		return 0
	}
	var rest retry.Part
	run.budget.Drain(&rest)
	return rest.Size()
}

// child returns the call of a request that the target makes for the one it
// runs, with a part of its retries.
func (f *flights) child(token string) (model.Call, retry.Part, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, ok := f.runs[token]
	if !ok {
		return model.Call{}, retry.Part{}, false
	}
	var part retry.Part
	run.budget.Lend(&part)
	return run.call.WithLeft(time.Until(run.until)), part, true
}

// refund gives back what a child did not spend.
func (f *flights) refund(token string, part *retry.Part, unspent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if run, ok := f.runs[token]; ok {
		run.budget.Return(part, unspent)
	}
}

// idBytes is the length of a random id.
const idBytes = 16

func randomID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
