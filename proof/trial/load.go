package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/io/clock"
	"anvilstand/proof/audit"
)

// sendTraffic sends every organisation's requests until ctx ends, and waits for
// their answers.
func (f *fleet) sendTraffic(ctx context.Context, seed uint64) error {
	caller := newCaller()
	defer caller.CloseIdleConnections()
	g := &errgroup.Group{}
	for i, org := range f.profile.orgs {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		g.Go(func() error {
			f.sendOrg(ctx, org, rnd, caller)
			return nil
		})
	}
	return g.Wait()
}

// request is a request that a caller sends, through the entry-th daemon of a
// failure domain.
type request struct {
	org    orgLoad
	key    string
	id     string
	method string
	path   string
	domain int
	entry  int
}

// Weights of the kinds of requests, out of totalWeight. The rest reads an item.
const (
	postWeight  = 2
	chainWeight = 2
	totalWeight = 10
)

// sendOrg sends the requests of one organisation, with exponentially
// distributed gaps.
func (f *fleet) sendOrg(ctx context.Context, org orgLoad, rnd *rand.Rand, caller *http.Client) {
	g := &errgroup.Group{}
	defer func() { _ = g.Wait() }()
	for n := 0; ctx.Err() == nil; n++ {
		rate := org.sendRate * float64(f.loadFactor.Load())
		_ = clock.Sleep(ctx, time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)))
		req := f.drawRequest(org, n, rnd)
		g.Go(func() error {
			f.sendRequest(ctx, caller, req)
			return nil
		})
	}
}

// drawRequest draws the n-th request of an organisation: its kind, its service,
// the daemon that gets it and the key.
func (f *fleet) drawRequest(org orgLoad, n int, rnd *rand.Rand) request {
	req := request{
		org: org, key: keyOf(org), id: fmt.Sprintf("%s-%d", org.name, n), method: http.MethodGet,
		domain: rnd.IntN(len(domains)), entry: rnd.IntN(len(f.targets)),
	}
	service := f.profile.services[rnd.IntN(len(f.profile.services))].name
	req.path = fmt.Sprintf("/%s/item/%s", service, req.id)
	switch kind := rnd.IntN(totalWeight); {
	case kind < postWeight:
		req.method = http.MethodPost
	case kind < postWeight+chainWeight:
		req.path = fmt.Sprintf("/%s/chain/%s", f.profile.services[0].name, req.id)
	}
	if org.name == f.profile.orgs[0].name && rnd.IntN(totalWeight) == 0 {
		req.key = f.withdrawnKey()
	}
	return req
}

// maxStormRetries is how often a caller resends a request in a retry storm.
const maxStormRetries = 3

// sendRequest sends a request. In a retry storm it resends an idempotent one,
// through another daemon, until it gets a complete answer.
func (f *fleet) sendRequest(ctx context.Context, caller *http.Client, req request) {
	for i := range 1 + maxStormRetries {
		end := f.sendOnce(caller, req)
		if _, complete := end.(audit.Complete); complete || !f.retryAll.Load() || ctx.Err() != nil {
			return
		}
		if req.method == http.MethodPost {
			return
		}
		req.entry += i + 1
	}
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 6 * time.Second

// sendOnce sends a request once and adds it to the history.
func (f *fleet) sendOnce(caller *http.Client, req request) audit.End {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	atMostOnce := req.method == http.MethodPost
	sent := audit.NewRequest(req.id, req.org.name, req.key, atMostOnce, f.history.Now())
	httpReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+f.frontAddress(req.domain, req.entry)+req.path, http.NoBody)
	if err != nil {
		return audit.NewConnLost(err.Error())
	}
	httpReq.Header.Set("Authorization", "Bearer "+req.key)
	if atMostOnce {
		httpReq.Header.Set("Idempotency-Key", req.id)
	}
	end := exchange(caller, httpReq)
	f.history.AddRequest(sent.WithEnd(end, f.history.Now()))
	return end
}

// exchange sends an HTTP request and returns how it ended.
func exchange(caller *http.Client, r *http.Request) audit.End {
	resp, err := caller.Do(r)
	if err != nil {
		return audit.NewConnLost(err.Error())
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return audit.NewConnLost(err.Error())
	}
	if resp.StatusCode == http.StatusOK {
		id, complete := strings.CutSuffix(string(text), answerSuffix)
		if !complete {
			id = "half of " + id
		}
		return audit.NewComplete(id)
	}
	// Any other status with a JSON object counts as a refusal.
	var refusal map[string]any
	if json.Unmarshal(text, &refusal) != nil {
		return audit.NewConnLost(fmt.Sprintf("status %d", resp.StatusCode))
	}
	return audit.NewRefused(fmt.Sprint(refusal["reason"]), fmt.Sprint(refusal["run"]))
}

// sendPoison sends a request that crashes its target, again and again until ctx
// ends, each time through another daemon.
func (f *fleet) sendPoison(ctx context.Context) {
	caller := newCaller()
	defer caller.CloseIdleConnections()
	req := request{org: f.profile.orgs[1], key: keyOf(f.profile.orgs[1]), method: http.MethodGet}
	req.path = fmt.Sprintf("/%s/poison/1", f.profile.services[0].name)
	for i := 0; ctx.Err() == nil; i++ {
		httpReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+f.frontAddress(i, i)+req.path, http.NoBody)
		if err != nil {
			return
		}
		httpReq.Header.Set("Authorization", "Bearer "+req.key)
		_ = exchange(caller, httpReq)
		_ = clock.Sleep(ctx, poisonInterval)
	}
}
