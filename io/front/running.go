package front

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// runningRequests are the requests that run at the target, by the token that
// the target sends with downstream calls on behalf of one.
type runningRequests struct {
	mu      sync.Mutex
	byToken map[string]*runningRequest
	tokens  map[model.Request]string // of the last execution of a request, by its id
}

// runningRequest is a request that runs at the target. Its downstream calls
// share its deadline and its retry budget.
type runningRequest struct {
	call     model.Call
	budget   retry.Budget
	deadline time.Time
	// levels are the admission levels that its downstream calls met last, by
	// service.
	levels  map[model.Service]model.Position
	refused bool // a downstream call was refused or failed
	starved bool // a downstream call was refused under overload, or was starved itself
}

// begin adds a request and returns its new token.
func (r *runningRequests) begin(call model.Call) string {
	token := randomID()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byToken == nil {
		r.byToken, r.tokens = map[string]*runningRequest{}, map[model.Request]string{}
	}
	r.tokens[call.ID()] = token
	r.byToken[token] = &runningRequest{call: call, budget: retry.NewBudget(call.Budget()), deadline: time.Now().Add(call.TimeLeft())}
	return token
}

// find returns the call and the token of the running request with an id.
func (r *runningRequests) find(id model.Request) (model.Call, string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	token, ok := r.tokens[id]
	if !ok {
		return model.Call{}, "", false
	}
	return r.byToken[token].call, token, true
}

// any returns the call of an arbitrary running request.
func (r *runningRequests) any() (model.Call, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, req := range r.byToken {
		return req.call, true
	}
	return model.Call{}, false
}

// end removes a request and returns its unspent retries, without those that
// takeUnspent took.
func (r *runningRequests) end(token string) int {
	unspent := r.takeUnspent(token)
	r.mu.Lock()
	defer r.mu.Unlock()
	if req, ok := r.byToken[token]; ok && r.tokens[req.call.ID()] == token {
		delete(r.tokens, req.call.ID())
	}
	delete(r.byToken, token)
	return unspent
}

// takeUnspent takes the unspent retries out of a request whose response begins, to
// report them with it.
func (r *runningRequests) takeUnspent(token string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	req, ok := r.byToken[token]
	if !ok {
		return 0
	}
	var unspent retry.Portion
	req.budget.TakeAll(&unspent)
	return unspent.Size()
}

// childCall returns the call for a request that the target makes on behalf of
// the running request, with a portion of its retry budget.
func (r *runningRequests) childCall(token string) (model.Call, retry.Portion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req, ok := r.byToken[token]
	if !ok {
		return model.Call{}, retry.Portion{}, false
	}
	var portion retry.Portion
	req.budget.Split(&portion)
	return req.call.WithTimeLeft(time.Until(req.deadline)), portion, true
}

// returnPortion gives the retries that a downstream call did not spend back to
// the running request.
func (r *runningRequests) returnPortion(token string, portion *retry.Portion, unspent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req, ok := r.byToken[token]; ok {
		req.budget.Return(portion, unspent)
	}
}

// idBytes is the length of a random id, in bytes before hex encoding.
const idBytes = 16

func randomID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
