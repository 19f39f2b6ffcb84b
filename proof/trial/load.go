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

// traffic sends every organisation's requests until ctx ends, and waits for
// their answers.
func (f *fleet) traffic(ctx context.Context, seed uint64) error {
	caller := newCaller()
	defer caller.CloseIdleConnections()
	g := &errgroup.Group{}
	for i, t := range f.profile.orgs {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		g.Go(func() error {
			f.stream(ctx, t, rnd, caller)
			return nil
		})
	}
	return g.Wait()
}

// shot is a request to be sent.
type shot struct {
	tenant tenant
	key    string
	id     string
	method string
	path   string
	domain int
	entry  int
}

// shares of the kinds of requests, of ten.
const (
	posts  = 2
	chains = 2
	ten    = 10
)

func (f *fleet) stream(ctx context.Context, t tenant, rnd *rand.Rand, caller *http.Client) {
	g := &errgroup.Group{}
	defer func() { _ = g.Wait() }()
	for n := 0; ctx.Err() == nil; n++ {
		demand := t.sends * float64(f.more.Load())
		_ = clock.Sleep(ctx, time.Duration(rnd.ExpFloat64()/demand*float64(time.Second)))
		s := f.draw(t, n, rnd)
		g.Go(func() error {
			f.shoot(ctx, caller, s)
			return nil
		})
	}
}

// draw draws a request to a service through a daemon.
func (f *fleet) draw(t tenant, n int, rnd *rand.Rand) shot {
	s := shot{
		tenant: t, key: keyOf(t), id: fmt.Sprintf("%s-%d", t.name, n), method: http.MethodGet,
		domain: rnd.IntN(len(domains)), entry: rnd.IntN(len(f.targets)),
	}
	service := f.profile.services[rnd.IntN(len(f.profile.services))].name
	s.path = fmt.Sprintf("/%s/item/%s", service, s.id)
	switch kind := rnd.IntN(ten); {
	case kind < posts:
		s.method = http.MethodPost
	case kind < posts+chains:
		s.path = fmt.Sprintf("/%s/chain/%s", f.profile.services[0].name, s.id)
	}
	if t.name == f.profile.orgs[0].name && rnd.IntN(ten) == 0 {
		s.key = f.withdrawn()
	}
	return s
}

// stormRetries is how often a caller in a storm sends a request again.
const stormRetries = 3

// shoot sends a request. In a storm the caller sends it again until it is
// answered.
func (f *fleet) shoot(ctx context.Context, caller *http.Client, s shot) {
	for i := range 1 + stormRetries {
		end := f.fire(caller, s)
		if _, whole := end.(audit.Whole); whole || !f.storm.Load() || ctx.Err() != nil {
			return
		}
		if s.method == http.MethodPost {
			return
		}
		s.entry += i + 1
	}
}

// patience is how long a caller waits for an answer.
const patience = 6 * time.Second

func (f *fleet) fire(caller *http.Client, s shot) audit.End {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	once := s.method == http.MethodPost
	sent := audit.NewSent(s.id, s.tenant.name, s.key, once, f.history.Now())
	r, err := http.NewRequestWithContext(ctx, s.method, "http://"+f.entry(s.domain, s.entry)+s.path, http.NoBody)
	if err != nil {
		return audit.NewCut(err.Error())
	}
	r.Header.Set("Authorization", "Bearer "+s.key)
	if once {
		r.Header.Set("Idempotency-Key", s.id)
	}
	end := read(caller, r)
	f.history.AddSent(sent.Ended(end, f.history.Now()))
	return end
}

func read(caller *http.Client, r *http.Request) audit.End {
	w, err := caller.Do(r)
	if err != nil {
		return audit.NewCut(err.Error())
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		return audit.NewCut(err.Error())
	}
	if w.StatusCode == http.StatusOK {
		id, whole := strings.CutSuffix(string(text), ending)
		if !whole {
			id = "half of " + id
		}
		return audit.NewWhole(id)
	}
	var refusal map[string]any
	if json.Unmarshal(text, &refusal) != nil {
		return audit.NewCut(fmt.Sprintf("status %d", w.StatusCode))
	}
	return audit.NewRefused(fmt.Sprint(refusal["reason"]), fmt.Sprint(refusal["run"]))
}

// poison sends a request that crashes its target, again and again.
func (f *fleet) poison(ctx context.Context) {
	caller := newCaller()
	defer caller.CloseIdleConnections()
	s := shot{tenant: f.profile.orgs[1], key: keyOf(f.profile.orgs[1]), method: http.MethodGet}
	s.path = fmt.Sprintf("/%s/poison/1", f.profile.services[0].name)
	for i := 0; ctx.Err() == nil; i++ {
		r, err := http.NewRequestWithContext(ctx, s.method, "http://"+f.entry(i, i)+s.path, http.NoBody)
		if err != nil {
			return
		}
		r.Header.Set("Authorization", "Bearer "+s.key)
		_ = read(caller, r)
		_ = clock.Sleep(ctx, poisonEvery)
	}
}
