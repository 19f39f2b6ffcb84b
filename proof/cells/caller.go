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

// tenant is an organisation of the fleet and what its callers send, in
// requests a second in each domain.
type tenant struct {
	org   model.Org
	rate  float64
	burst float64
	sends float64
	keys  []string
}

// withdrawn is the key that each cell withdraws.
const withdrawn = "second-key-of-acme"

// keys are all keys that callers show.
var keys = []string{"first-key-of-acme", withdrawn, "only-key-of-zeta", operatorKey}

// tenants are one organisation inside its rate, and one that sends three times
// its rate.
var tenants = []tenant{
	{org: "acme", rate: 90, burst: 40, sends: 8, keys: []string{"first-key-of-acme", "first-key-of-acme", withdrawn}},
	{org: "zeta", rate: 10, burst: 10, sends: 10, keys: []string{"only-key-of-zeta"}},
}

// setup is the configuration of the fleet.
func setup() string {
	text := "add service stock; add service order; add route stock GET /items idempotent\n" +
		"add route order POST /orders; add route order GET /chain idempotent; add route stock GET /open idempotent open\n"
	for _, t := range tenants {
		text += fmt.Sprintf("add org %s rate %g burst %g\n", t.org, t.rate, t.burst)
		for _, key := range keys {
			if strings.HasSuffix(key, "-of-"+string(t.org)) {
				text += fmt.Sprintf("grant %s key %s\n", t.org, key)
			}
		}
	}
	return text
}

// traffic sends every organisation's requests from every domain until ctx
// ends, and waits for their answers.
func (f *fleet) traffic(ctx context.Context, seed uint64) {
	g := &errgroup.Group{}
	for n := range domains {
		for i, t := range tenants {
			rnd := rand.New(rand.NewPCG(seed, uint64(n*len(tenants)+i)))
			g.Go(func() error {
				f.stream(ctx, n, t, rnd)
				return nil
			})
		}
	}
	_ = g.Wait()
}

func (f *fleet) stream(ctx context.Context, n int, t tenant, rnd *rand.Rand) {
	g := &errgroup.Group{}
	defer func() { _ = g.Wait() }()
	for i := 0; ; i++ {
		timer := time.NewTimer(time.Duration(rnd.ExpFloat64() / t.sends * float64(time.Second)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		s := shot{
			id:    fmt.Sprintf("%s-%d-%d", t.org, n, i),
			org:   t.org,
			key:   t.keys[rnd.IntN(len(t.keys))],
			kind:  rnd.IntN(kinds),
			entry: rnd.IntN(f.wide),
		}
		g.Go(func() error {
			f.shoot(n, s)
			return nil
		})
	}
}

// shot is a request to be sent.
type shot struct {
	id    string
	org   model.Org
	key   string
	kind  int
	entry int
}

// kinds is how many kinds of requests there are.
const kinds = 4

// path returns the method and the path of a shot, and whether it may run once
// only.
func (s shot) path() (string, string, bool) {
	switch s.kind {
	case 0:
		return http.MethodPost, "/order/orders/" + s.id, true
	case 1:
		return http.MethodGet, "/order/chain/" + s.id, false
	}
	return http.MethodGet, "/stock/items/" + s.id, false
}

// shoot sends a request to a daemon of its domain, or to the other one when
// the first takes no connection. While callers resend, it goes out twice.
func (f *fleet) shoot(n int, s shot) {
	g := &errgroup.Group{}
	if f.resend.Load() {
		other := s
		other.entry = (s.entry + 1) % f.wide
		g.Go(func() error {
			time.Sleep(takes / 2)
			f.fire(n, other)
			return nil
		})
	}
	if _, unreached := f.fire(n, s).(audit.Unreached); unreached {
		s.entry = (s.entry + 1) % f.wide
		f.fire(n, s)
	}
	_ = g.Wait()
}

// patience is how long a caller waits for an answer.
const patience = 6 * time.Second

func (f *fleet) fire(n int, s shot) audit.End {
	method, path, once := s.path()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	sent := audit.NewSent(s.id, s.org, s.key, once, f.history.Now())
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.nodes[n*f.wide+s.entry].front()+path, http.NoBody)
	if err != nil {
		return audit.NewCut(err.Error())
	}
	r.Header.Set("Authorization", "Bearer "+s.key)
	// The transport must not send a request again by itself: the history would
	// know of one sending and the target of two.
	r.Body, r.GetBody = io.NopCloser(strings.NewReader("")), nil
	if once {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(s.id)), int64(len(s.id))
		r.Header.Set("Idempotency-Key", s.id)
	}
	end := read(f.callers[n], r)
	f.history.AddSent(sent.Ended(end, f.history.Now()))
	return end
}

func read(caller *http.Client, r *http.Request) audit.End {
	w, err := caller.Do(r)
	if err != nil {
		if strings.Contains(err.Error(), "dial") {
			return audit.Unreached{}
		}
		return audit.NewCut(err.Error())
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		return audit.NewCut(err.Error())
	}
	if w.StatusCode == http.StatusOK {
		id, _, _ := strings.Cut(string(text), ".")
		if !strings.HasSuffix(string(text), ending) {
			id = "half of " + id
		}
		return audit.NewWhole(id)
	}
	var refusal map[string]any
	if err := json.Unmarshal(text, &refusal); err != nil {
		return audit.NewCut(fmt.Sprintf("status %d: %s", w.StatusCode, text))
	}
	return audit.NewRefused(fmt.Sprint(refusal["reason"]), fmt.Sprint(refusal["run"]))
}

// again is the wait before an operator tries again.
const again = 500 * time.Millisecond

// tell gives a command to one daemon after another, from a first one on, until
// one takes it.
func (f *fleet) tell(ctx context.Context, first int, op, text string) {
	for i := first; ctx.Err() == nil; i++ {
		from := f.history.Now()
		said, rev := f.tellOnce(ctx, f.nodes[i%len(f.nodes)], op, text)
		f.history.AddTold(audit.NewTold(op, from, f.history.Now(), said, rev))
		if _, ok := said.(audit.Accepted); ok {
			return
		}
		time.Sleep(again)
	}
}

func (f *fleet) tellOnce(ctx context.Context, n *node, op, text string) (audit.Outcome, model.Revision) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.oper()+"/tell?op="+op, strings.NewReader(text))
	if err != nil {
		return audit.Rejected{}, 0
	}
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	w, err := f.callers[n.n].Do(r)
	if err != nil {
		return audit.Unknown{}, 0
	}
	defer w.Body.Close()
	var result struct {
		Revision model.Revision `json:"revision"`
	}
	if err := json.NewDecoder(w.Body).Decode(&result); err != nil {
		return audit.Unknown{}, 0
	}
	switch w.StatusCode {
	case http.StatusOK:
		return audit.Accepted{}, result.Revision
	case http.StatusBadGateway:
		return audit.Unknown{}, result.Revision
	}
	return audit.Rejected{}, result.Revision
}
