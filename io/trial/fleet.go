package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/io/daemon"
	"anvilstand/io/prefs"
	"anvilstand/io/stand"
	"anvilstand/io/wire"
)

// operatorKey is the key of the trial's only operator.
const operatorKey = "trial-operator"

// fleet is a running fleet.
type fleet struct {
	store   stand.Stand
	targets []*httptest.Server
	daemons map[model.Domain][]*daemon.Daemon
	group   *errgroup.Group
	stop    context.CancelFunc
}

// startFleet starts the targets and the daemons of a profile.
func startFleet(ctx context.Context, p Profile) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	f := &fleet{daemons: map[model.Domain][]*daemon.Daemon{}, group: g, stop: stop}
	for _, s := range p.services {
		for i := range s.endpoints {
			if err := f.startOne(ctx, s, i); err != nil {
				return nil, errors.Wrapf(err, "start %s %d", s.name, i)
			}
		}
	}
	return f, nil
}

func (f *fleet) startOne(ctx context.Context, s load, i int) error {
	target := httptest.NewServer(newTarget(s))
	f.targets = append(f.targets, target)
	domain := domains[i%len(domains)]
	settings, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("%s-%d", s.name, i), "domain": domain, "service": s.name,
		"front": "127.0.0.1:0", "peer": "127.0.0.1:0", "oper": "127.0.0.1:0",
		"target": target.URL, "store": "http://127.0.0.1:1", "secret": "trial-secret",
		"operators": map[string]string{"trial": operatorKey},
	})
	if err != nil {
		return err
	}
	prefs, err := prefs.Parse(settings)
	if err != nil {
		return err
	}
	d, err := daemon.New(prefs, wire.TCP{}, &f.store, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	f.daemons[domain] = append(f.daemons[domain], d)
	f.group.Go(func() error { return d.Run(ctx) })
	return nil
}

// close stops the fleet and waits for it.
func (f *fleet) close() error {
	f.stop()
	err := f.group.Wait()
	for _, t := range f.targets {
		t.Close()
	}
	return err
}

// newTarget returns a target that runs a bounded number of requests at a time
// and sheds the rest.
func newTarget(s load) http.Handler {
	slots := make(chan struct{}, s.slots)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-r.Context().Done():
			return
		}
		time.Sleep(s.takes)
		_, _ = fmt.Fprintln(w, r.URL.Path)
	})
}

// tell gives a command through the operators' endpoint of a daemon.
func (f *fleet) tell(ctx context.Context, op, text string) error {
	d := f.daemons[domains[0]][0]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.OperAddress()+"/tell?op="+op, strings.NewReader(text))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(w.Body)
		return errors.Errorf("tell %q: status %d: %s", op, w.StatusCode, text)
	}
	return nil
}

// configure issues a profile's organisations, keys and routes, and waits until
// every daemon has them in force and knows every target.
func (f *fleet) configure(ctx context.Context, p Profile) error {
	var text strings.Builder
	for _, s := range p.services {
		fmt.Fprintf(&text, "add service %s\nadd route %s GET / idempotent\nadd route %s POST /\n", s.name, s.name, s.name)
	}
	for _, o := range p.orgs {
		fmt.Fprintf(&text, "add org %s rate %g burst %g\ngrant %s key %s\n", o.name, o.rate, o.burst, o.name, keyOf(o))
	}
	if err := f.tell(ctx, "configure", text.String()); err != nil {
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

func keyOf(t tenant) string { return "key-of-" + string(t.name) }

func newCaller() *http.Client {
	const pooled = 256
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: pooled,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}
