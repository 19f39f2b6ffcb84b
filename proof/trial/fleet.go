package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/io/clock"
	"anvilstand/io/daemon"
	"anvilstand/io/fake"
	"anvilstand/io/prefs"
	"anvilstand/proof/audit"
)

// operatorKey is the key of the trial's only operator.
const operatorKey = "trial-operator"

// fleet is a running fleet.
type fleet struct {
	profile Profile
	history *audit.History
	store   fake.Stand
	net     cable
	targets []*target
	daemons map[model.Domain][]*daemon.Daemon
	group   *errgroup.Group
	stop    context.CancelFunc
	more    atomic.Int64 // times the demand
	storm   atomic.Bool
	crashes atomic.Int64
}

// startFleet starts the targets and the daemons of a profile.
func startFleet(ctx context.Context, p Profile) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	f := &fleet{
		profile: p, history: audit.New(p.plan()), daemons: map[model.Domain][]*daemon.Daemon{},
		group: g, stop: stop,
	}
	f.more.Store(1)
	for _, s := range p.services {
		for i := range s.endpoints {
			if err := f.startOne(ctx, s, i); err != nil {
				stop()
				return nil, errors.Wrapf(err, "start %s %d", s.name, i)
			}
		}
	}
	return f, nil
}

func (f *fleet) startOne(ctx context.Context, s load, i int) error {
	t := newTarget(f, s, i)
	f.targets = append(f.targets, t)
	settings, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("%s-%d", s.name, i), "domain": t.domain, "service": s.name,
		"front": "127.0.0.1:0", "peer": "127.0.0.1:0", "oper": "127.0.0.1:0",
		"target": t.server.URL, "store": "http://127.0.0.1:1", "secret": "trial-secret",
		"operators": map[string]string{"trial": operatorKey},
		// A fleet younger than a window runs no request with an idempotency key.
		"window": 1,
	})
	if err != nil {
		return err
	}
	prefs, err := prefs.Parse(settings)
	if err != nil {
		return err
	}
	n := side{cable: &f.net, domain: t.domain}
	d, err := daemon.New(prefs, n, shelf{store: &f.store, cable: &f.net, domain: t.domain}, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	t.front = d.FrontAddress()
	f.daemons[t.domain] = append(f.daemons[t.domain], d)
	f.group.Go(func() error { return d.Run(ctx) })
	return nil
}

// close stops the fleet and waits for it.
func (f *fleet) close() error {
	f.stop()
	err := f.group.Wait()
	for _, t := range f.targets {
		t.server.Close()
	}
	return err
}

// Operations of the trial's operator.
const (
	opSetup    = "configure"
	opWithdraw = "withdraw"
	opOut      = "out"
	opIn       = "in"
)

// tellNoted gives a command until it is accepted, and notes it.
func (f *fleet) tellNoted(ctx context.Context, op, text string) {
	for ctx.Err() == nil {
		from := f.history.Now()
		rev, err := f.tell(ctx, f.daemons[domains[0]][0], op, text)
		if err == nil {
			f.history.AddTold(audit.NewTold(op, from, f.history.Now(), audit.Accepted{}, rev))
			return
		}
		_ = clock.Sleep(ctx, awaitStep)
	}
}

// race lets two operators change the same thing at once.
func (f *fleet) race(ctx context.Context) {
	g := &errgroup.Group{}
	for i, d := range domains[:2] {
		g.Go(func() error {
			text := fmt.Sprintf("set org %s rank %d", f.profile.orgs[0].name, i+3)
			_, _ = f.tell(ctx, f.daemons[d][0], fmt.Sprintf("race%d", i), text)
			return nil
		})
	}
	_ = g.Wait()
}

// tell gives a command through the operators' endpoint of a daemon.
func (f *fleet) tell(ctx context.Context, d *daemon.Daemon, op, text string) (model.Revision, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.OperAddress()+"/tell?op="+op, strings.NewReader(text))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer w.Body.Close()
	answer, _ := io.ReadAll(w.Body)
	if w.StatusCode != http.StatusOK {
		return 0, errors.Errorf("tell %q: status %d: %s", op, w.StatusCode, answer)
	}
	var result struct {
		Revision model.Revision `json:"revision"`
	}
	return result.Revision, json.Unmarshal(answer, &result)
}

// configure issues a profile's organisations, keys and routes, and waits until
// every daemon has them in force and knows every target.
func (f *fleet) configure(ctx context.Context) error {
	var text strings.Builder
	for _, s := range f.profile.services {
		fmt.Fprintf(&text, "add service %s\nadd route %s GET / idempotent\nadd route %s POST /\n", s.name, s.name, s.name)
		fmt.Fprintf(&text, "add route %s GET /probe idempotent open\n", s.name)
	}
	for _, o := range f.profile.orgs {
		fmt.Fprintf(&text, "add org %s rate %g burst %g\ngrant %s key %s\n", o.name, o.rate, o.burst, o.name, keyOf(o))
	}
	fmt.Fprintf(&text, "grant %s key %s\n", f.profile.orgs[0].name, f.withdrawn())
	if _, err := f.tell(ctx, f.daemons[domains[0]][0], opSetup, text.String()); err != nil {
		return err
	}
	return f.await(ctx, func(d *daemon.Daemon) bool {
		v := d.Loop().View()
		return v.Config().Revision() > 0 && len(v.Members()) == len(f.targets)
	})
}

const awaitStep = 10 * time.Millisecond

func (f *fleet) await(ctx context.Context, ready func(*daemon.Daemon) bool) error {
	t := time.NewTicker(awaitStep)
	defer t.Stop()
	for !f.all(ready) {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "await fleet")
		case <-t.C:
		}
	}
	return nil
}

func (f *fleet) all(ready func(*daemon.Daemon) bool) bool {
	for _, list := range f.daemons {
		for _, d := range list {
			if !ready(d) {
				return false
			}
		}
	}
	return true
}

// keyStart begins every caller's key.
const keyStart = "key-of-"

func keyOf(t tenant) string { return keyStart + string(t.name) }

// withdrawn is the second key of the first organisation.
func (f *fleet) withdrawn() string { return second(f.profile) }

func second(p Profile) string { return keyOf(p.orgs[0]) + "-second" }

func newCaller() *http.Client {
	const pooled = 256
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: pooled,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// entry returns the address of a daemon where callers connect.
func (f *fleet) entry(domain, n int) string {
	list := f.daemons[domains[domain%len(domains)]]
	return list[n%len(list)].FrontAddress()
}
