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

// fleet is a running fleet: its store, targets and daemons, and the faults that
// its callers and targets simulate.
type fleet struct {
	profile    Profile
	history    *audit.History
	store      fake.Store
	net        network
	targets    []*target
	daemons    map[model.Domain][]*daemon.Daemon
	group      *errgroup.Group
	stop       context.CancelFunc
	loadFactor atomic.Int64 // times the usual rate
	retryAll   atomic.Bool
	crashes    atomic.Int64
}

// startFleet starts the targets and the daemons of a profile.
func startFleet(ctx context.Context, p Profile) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	f := &fleet{
		profile: p, history: audit.New(p.plan()), daemons: map[model.Domain][]*daemon.Daemon{},
		group: g, stop: stop,
	}
	f.loadFactor.Store(1)
	for _, s := range p.services {
		for i := range s.targets {
			if err := f.startNode(ctx, s, i); err != nil {
				stop()
				return nil, errors.Wrapf(err, "start %s %d", s.name, i)
			}
		}
	}
	return f, nil
}

// startNode starts the i-th target of a service and the daemon beside it.
func (f *fleet) startNode(ctx context.Context, s service, i int) error {
	t := newTarget(f, s, i)
	f.targets = append(f.targets, t)
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("%s-%d", s.name, i), "domain": t.domain, "service": s.name,
		"front": "127.0.0.1:0", "peer": "127.0.0.1:0", "oper": "127.0.0.1:0",
		"target": t.server.URL, "store": "http://127.0.0.1:1", "secret": "trial-secret",
		"operators": map[string]string{"trial": operatorKey},
		// A fleet that started less than a window ago executes no request with
		// an idempotency key, so the window is one second.
		"window": 1,
	})
	if err != nil {
		return err
	}
	settings, err := prefs.Parse(text)
	if err != nil {
		return err
	}
	network := domainNetwork{net: &f.net, domain: t.domain}
	d, err := daemon.New(settings, network, domainStore{store: &f.store, net: &f.net, domain: t.domain}, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	t.front = d.FrontAddress()
	f.daemons[t.domain] = append(f.daemons[t.domain], d)
	f.group.Go(func() error { return d.Run(ctx) })
	return nil
}

// close stops the daemons, waits until they have ended, and closes the targets.
func (f *fleet) close() error {
	f.stop()
	err := f.group.Wait()
	for _, t := range f.targets {
		t.server.Close()
	}
	return err
}

// Ids of the commands of the trial's operator.
const (
	opSetup    = "configure"
	opWithdraw = "withdraw"
	opOut      = "out"
	opIn       = "in"
)

// commandUntilAccepted sends a command until it is accepted, and then adds it to
// the history.
func (f *fleet) commandUntilAccepted(ctx context.Context, op, text string) {
	for ctx.Err() == nil {
		from := f.history.Now()
		rev, err := f.command(ctx, f.daemons[domains[0]][0], op, text)
		if err == nil {
			f.history.AddCommand(audit.NewCommand(op, from, f.history.Now(), audit.Accepted{}, rev))
			return
		}
		_ = clock.Sleep(ctx, pollInterval)
	}
}

// raceCommands lets two operators change the same value at once, through daemons
// of two failure domains.
func (f *fleet) raceCommands(ctx context.Context) {
	g := &errgroup.Group{}
	for i, d := range domains[:2] {
		g.Go(func() error {
			text := fmt.Sprintf("set org %s rank %d", f.profile.orgs[0].name, i+3)
			_, _ = f.command(ctx, f.daemons[d][0], fmt.Sprintf("race%d", i), text)
			return nil
		})
	}
	_ = g.Wait()
}

// command sends a command to the operators' endpoint of a daemon and returns the
// revision that it committed.
func (f *fleet) command(ctx context.Context, d *daemon.Daemon, op, text string) (model.Revision, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.OperAddress()+"/tell?op="+op, strings.NewReader(text))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("tell %q: status %d: %s", op, resp.StatusCode, answer)
	}
	var result struct {
		Revision model.Revision `json:"revision"`
	}
	return result.Revision, json.Unmarshal(answer, &result)
}

// configure commits the profile's organisations, keys and routes, and waits
// until they are in force at every daemon and each daemon knows all members.
func (f *fleet) configure(ctx context.Context) error {
	var text strings.Builder
	for _, s := range f.profile.services {
		fmt.Fprintf(&text, "add service %s\nadd route %s GET / idempotent\nadd route %s POST /\n", s.name, s.name, s.name)
		fmt.Fprintf(&text, "add route %s GET /probe idempotent open\n", s.name)
	}
	for _, org := range f.profile.orgs {
		fmt.Fprintf(&text, "add org %s rate %g burst %g\ngrant %s key %s\n", org.name, org.rate, org.burst, org.name, keyOf(org))
	}
	fmt.Fprintf(&text, "grant %s key %s\n", f.profile.orgs[0].name, f.withdrawnKey())
	if _, err := f.command(ctx, f.daemons[domains[0]][0], opSetup, text.String()); err != nil {
		return err
	}
	return f.await(ctx, func(d *daemon.Daemon) bool {
		v := d.Loop().View()
		return v.Config().Revision() > 0 && len(v.Members()) == len(f.targets)
	})
}

// pollInterval is the wait between two checks of the fleet, or two tries of a
// command.
const pollInterval = 10 * time.Millisecond

// await waits until ready holds for every daemon.
func (f *fleet) await(ctx context.Context, ready func(*daemon.Daemon) bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !f.all(ready) {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait until every daemon has the configuration and all members")
		case <-t.C:
		}
	}
	return nil
}

// all reports whether ready holds for every daemon.
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

// keyPrefix is the start of every caller's key. Targets search for it.
const keyPrefix = "key-of-"

func keyOf(org orgLoad) string { return keyPrefix + string(org.name) }

// withdrawnKey returns the key that the fault KeyWithdrawn withdraws: the second
// key of the first organisation.
func (f *fleet) withdrawnKey() string { return withdrawnKeyOf(f.profile) }

func withdrawnKeyOf(p Profile) string { return keyOf(p.orgs[0]) + "-second" }

// newCaller returns an HTTP client with idle connections for many callers.
func newCaller() *http.Client {
	const idleConns = 256
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConns,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// frontAddress returns where callers connect to the n-th daemon of a failure
// domain. Both numbers wrap around.
func (f *fleet) frontAddress(domain, n int) string {
	daemons := f.daemons[domains[domain%len(domains)]]
	return daemons[n%len(daemons)].FrontAddress()
}
