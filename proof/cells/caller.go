package cells

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

	"anvilstand/core/model"
	"anvilstand/proof/audit"
)

// orgLoad is an organisation, its quota, and what its callers send. The rate is
// in requests a second over the whole fleet, the send rate in each domain.
type orgLoad struct {
	org      model.Org
	rate     float64
	burst    float64
	sendRate float64
	keys     []string
}

// withdrawnKey is the key that the operator withdraws in each cell.
const withdrawnKey = "second-key-of-acme"

// callerKeys are all keys of callers and operators. None may leak.
var callerKeys = []string{"first-key-of-acme", withdrawnKey, "only-key-of-zeta", operatorKey}

// orgLoads are one organisation within its rate, and one that sends three times
// its rate over the three domains.
var orgLoads = []orgLoad{
	{org: "acme", rate: 90, burst: 40, sendRate: 8, keys: []string{"first-key-of-acme", "first-key-of-acme", withdrawnKey}},
	{org: "zeta", rate: 10, burst: 10, sendRate: 10, keys: []string{"only-key-of-zeta"}},
}

// setupCommands returns the operator's commands that configure the fleet.
func setupCommands() string {
	text := "add service stock; add service order; add route stock GET /items idempotent\n" +
		"add route order POST /orders; add route order GET /chain idempotent; add route stock GET /open idempotent open\n"
	for _, load := range orgLoads {
		text += fmt.Sprintf("add org %s rate %g burst %g\n", load.org, load.rate, load.burst)
		for _, key := range callerKeys {
			if strings.HasSuffix(key, "-of-"+string(load.org)) {
				text += fmt.Sprintf("grant %s key %s\n", load.org, key)
			}
		}
	}
	return text
}

// sendTraffic sends every organisation's requests from every domain until ctx
// ends, and waits for their answers.
func (f *fleet) sendTraffic(ctx context.Context, seed uint64) {
	g := &errgroup.Group{}
	for domain := range domains {
		for i, load := range orgLoads {
			rnd := rand.New(rand.NewPCG(seed, uint64(domain*len(orgLoads)+i)))
			g.Go(func() error {
				f.sendOrg(ctx, domain, load, rnd)
				return nil
			})
		}
	}
	_ = g.Wait()
}

// sendOrg sends the requests of one organisation from one domain, with
// exponentially distributed gaps.
func (f *fleet) sendOrg(ctx context.Context, domain int, load orgLoad, rnd *rand.Rand) {
	g := &errgroup.Group{}
	defer func() { _ = g.Wait() }()
	for i := 0; ; i++ {
		timer := time.NewTimer(time.Duration(rnd.ExpFloat64() / load.sendRate * float64(time.Second)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		req := request{
			id:    fmt.Sprintf("%s-%d-%d", load.org, domain, i),
			org:   load.org,
			key:   load.keys[rnd.IntN(len(load.keys))],
			kind:  rnd.IntN(requestKinds),
			entry: rnd.IntN(f.daemonsPerDomain),
		}
		g.Go(func() error {
			f.sendRequest(domain, req)
			return nil
		})
	}
}

// request is a request that a caller sends. Its entry is the index, within the
// caller's domain, of the daemon that gets it.
type request struct {
	id    string
	org   model.Org
	key   string
	kind  int
	entry int
}

// requestKinds is the number of kinds of requests, all equally frequent: see
// path.
const requestKinds = 4

// path returns the method and the path of a request, and whether it may be
// executed at most once.
func (r request) path() (string, string, bool) {
	switch r.kind {
	case 0:
		return http.MethodPost, "/order/orders/" + r.id, true
	case 1:
		return http.MethodGet, "/order/chain/" + r.id, false
	}
	return http.MethodGet, "/stock/items/" + r.id, false
}

// sendRequest sends a request to a daemon of its domain, or to the next one when
// the first accepts no connection. While callers resend, it is sent to both.
func (f *fleet) sendRequest(domain int, req request) {
	g := &errgroup.Group{}
	if f.resend.Load() {
		second := req
		second.entry = (req.entry + 1) % f.daemonsPerDomain
		g.Go(func() error {
			time.Sleep(serviceTime / 2)
			f.sendOnce(domain, second)
			return nil
		})
	}
	if _, unreached := f.sendOnce(domain, req).(audit.ConnectFailed); unreached {
		req.entry = (req.entry + 1) % f.daemonsPerDomain
		f.sendOnce(domain, req)
	}
	_ = g.Wait()
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 6 * time.Second

// sendOnce sends a request to one daemon and adds it to the history.
func (f *fleet) sendOnce(domain int, req request) audit.End {
	method, path, atMostOnce := req.path()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	sent := audit.NewRequest(req.id, req.org, req.key, atMostOnce, f.history.Now())
	httpReq, err := http.NewRequestWithContext(ctx, method, "http://"+f.nodes[domain*f.daemonsPerDomain+req.entry].frontAddress()+path, http.NoBody)
	if err != nil {
		return audit.NewConnLost(err.Error())
	}
	httpReq.Header.Set("Authorization", "Bearer "+req.key)
	// A body without GetBody keeps the transport from retrying by itself: the
	// history would have one request and the target two.
	httpReq.Body, httpReq.GetBody = io.NopCloser(strings.NewReader("")), nil
	if atMostOnce {
		httpReq.Body, httpReq.ContentLength = io.NopCloser(strings.NewReader(req.id)), int64(len(req.id))
		httpReq.Header.Set("Idempotency-Key", req.id)
	}
	end := exchange(f.callers[domain], httpReq)
	f.history.AddRequest(sent.WithEnd(end, f.history.Now()))
	return end
}

// exchange sends an HTTP request and returns how it ended.
func exchange(caller *http.Client, r *http.Request) audit.End {
	resp, err := caller.Do(r)
	if err != nil {
		if strings.Contains(err.Error(), "dial") {
			return audit.ConnectFailed{}
		}
		return audit.NewConnLost(err.Error())
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return audit.NewConnLost(err.Error())
	}
	if resp.StatusCode == http.StatusOK {
		id, _, _ := strings.Cut(string(text), ".")
		if !strings.HasSuffix(string(text), answerSuffix) {
			id = "half of " + id
		}
		return audit.NewComplete(id)
	}
	// Any other status with a JSON object counts as a refusal.
	var refusal map[string]any
	if err := json.Unmarshal(text, &refusal); err != nil {
		return audit.NewConnLost(fmt.Sprintf("status %d: %s", resp.StatusCode, text))
	}
	return audit.NewRefused(fmt.Sprint(refusal["reason"]), fmt.Sprint(refusal["run"]))
}

// commandRetryDelay is the wait before an operator retries a command.
const commandRetryDelay = 500 * time.Millisecond

// sendCommand sends a command to one daemon after another, from a first one on,
// until one accepts it, and adds each try to the history.
func (f *fleet) sendCommand(ctx context.Context, first int, op, text string) {
	for i := first; ctx.Err() == nil; i++ {
		from := f.history.Now()
		outcome, rev := f.sendCommandOnce(ctx, f.nodes[i%len(f.nodes)], op, text)
		f.history.AddCommand(audit.NewCommand(op, from, f.history.Now(), outcome, rev))
		if _, ok := outcome.(audit.Accepted); ok {
			return
		}
		time.Sleep(commandRetryDelay)
	}
}

// sendCommandOnce sends a command to one daemon. A status 502 means that the
// daemon does not know whether the store took the change.
func (f *fleet) sendCommandOnce(ctx context.Context, n *node, op, text string) (audit.Outcome, model.Revision) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.operAddress()+"/tell?op="+op, strings.NewReader(text))
	if err != nil {
		return audit.Rejected{}, 0
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := f.callers[n.domain].Do(req)
	if err != nil {
		return audit.Unknown{}, 0
	}
	defer resp.Body.Close()
	var result struct {
		Revision model.Revision `json:"revision"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&result); err != nil {
		return audit.Unknown{}, 0
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return audit.Accepted{}, result.Revision
	case http.StatusBadGateway:
		return audit.Unknown{}, result.Revision
	}
	return audit.Rejected{}, result.Revision
}
