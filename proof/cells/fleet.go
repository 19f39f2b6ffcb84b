package cells

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/io/daemon"
	"anvilstand/io/fake"
	"anvilstand/io/prefs"
	"anvilstand/io/store"
	"anvilstand/io/wire"
	"anvilstand/proof/audit"
	"anvilstand/proof/cable"
)

// domains are the failure domains. The n-th has the IP numbers 10.n.*.*.
var domains = []model.Domain{"north", "east", "south"}

// services have one target in each domain. Daemon m of domain n has the IP
// number 10.n.m.1 and its target 10.n.m.2.
var services = []model.Service{"stock", "order"}

// Addresses of the fleet.
const (
	storeIP   = "10.0.0.1"
	storePort = "7070"
	frontPort = "7001"
	peerPort  = "7002"
	operPort  = "7003"
	linkDelay = 500 * time.Microsecond
)

// operatorKey is the key of the fleet's only operator.
const operatorKey = "operator-key-of-ana"

// node is a daemon and the target beside it.
type node struct {
	fleet    *fleet
	n, m     int
	starting chan struct{}
	mu       sync.Mutex
	host     *cable.Host
	daemon   *daemon.Daemon
	stop     context.CancelFunc
	stopped  chan struct{}
	target   *target
	starts   int
	since    time.Duration
	up       bool
	frontAt  string
	operAt   string
}

func (n *node) ip() string     { return fmt.Sprintf("10.%d.%d.1", n.n+1, n.m+1) }
func (n *node) name() string   { return fmt.Sprintf("%s-%s-%d", n.service(), domains[n.n], n.m) }
func (n *node) front() string  { return cmp.Or(n.frontAt, n.ip()+":"+frontPort) }
func (n *node) oper() string   { return cmp.Or(n.operAt, n.ip()+":"+operPort) }
func (n *node) backIP() string { return fmt.Sprintf("10.%d.%d.2", n.n+1, n.m+1) }

func (n *node) service() model.Service { return services[n.m%len(services)] }

// fleet is the store, the daemons, the targets and the callers of one cell.
type fleet struct {
	cable   *cable.Network
	store   fake.Stand
	nodes   []*node
	group   errgroup.Group
	history *audit.History
	log     logs
	callers []*http.Client
	resend  atomic.Bool
	tapMu   sync.Mutex
	taps    []cable.Tap
	seeMu   sync.Mutex
	wide    int
	step    func(Step, cable.Write) bool
	wrap    func(http.Handler) http.Handler
	shelf   func(store.Store) store.Store
}

// logs keeps what the daemons log.
type logs struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the log.
func (l *logs) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logs) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

func newFleet() *fleet {
	f := &fleet{cable: &cable.Network{}, history: audit.New(plan()), wide: len(services)}
	f.cable.SetDelay(linkDelay)
	f.cable.SetTap(f.tap)
	f.step = f.happens
	return f
}

// then adds a tap.
func (f *fleet) then(t cable.Tap) {
	f.tapMu.Lock()
	defer f.tapMu.Unlock()
	f.taps = append(f.taps, t)
}

// tap asks the taps one by one. The first that acts decides.
func (f *fleet) tap(w cable.Write) cable.Action {
	f.tapMu.Lock()
	taps := f.taps
	f.tapMu.Unlock()
	f.seeMu.Lock()
	defer f.seeMu.Unlock()
	for _, t := range taps {
		if act := t(w); act != nil {
			return act
		}
	}
	return nil
}

// start starts everything.
func (f *fleet) start() error {
	if err := f.startStore(); err != nil {
		return err
	}
	for n := range domains {
		f.callers = append(f.callers, newCaller(f.cable.Host(callerIP(n))))
		for m := range services {
			node := &node{fleet: f, n: n, m: m, starting: make(chan struct{}, 1)}
			node.target = &target{node: node, wrap: f.wrap}
			f.nodes = append(f.nodes, node)
			if err := node.target.start(); err != nil {
				return err
			}
			if err := node.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

func callerIP(n int) string { return fmt.Sprintf("10.%d.9.1", n+1) }

func newCaller(h wire.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: h.DialContext, DisableCompression: true}}
}

func (f *fleet) startStore() error {
	ln, err := f.cable.Host(storeIP).Listen(storeIP + ":" + storePort)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: fake.Handler(&f.store), ReadHeaderTimeout: time.Minute}
	f.group.Go(func() error {
		_ = s.Serve(ln)
		return nil
	})
	return nil
}

// start starts the node's daemon as a new process, once the last one has ended.
func (n *node) start() error {
	n.starting <- struct{}{}
	defer func() { <-n.starting }()
	n.mu.Lock()
	up, stopped := n.up, n.stopped
	n.mu.Unlock()
	if up {
		return nil
	}
	if stopped != nil {
		<-stopped
	}
	return n.launch()
}

func (n *node) launch() error {
	host := n.fleet.cable.Host(n.ip())
	p, err := n.settings()
	if err != nil {
		return err
	}
	var s store.Store = store.NewClient(p.Store(), newCaller(host))
	if n.fleet.shelf != nil {
		s = n.fleet.shelf(s)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: n.name(), Output: &n.fleet.log, Level: hclog.Debug})
	d, err := daemon.New(p, host, s, log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	n.mu.Lock()
	n.host, n.daemon, n.stop, n.stopped = host, d, stop, stopped
	n.starts, n.since, n.up = n.starts+1, n.fleet.history.Now(), true
	n.mu.Unlock()
	n.fleet.group.Go(func() error {
		defer close(stopped)
		_ = d.Run(ctx)
		return nil
	})
	return nil
}

func (n *node) settings() (*prefs.Prefs, error) {
	text, err := json.Marshal(map[string]any{
		"name": n.name(), "domain": domains[n.n], "service": n.service(),
		"front": n.front(), "peer": n.ip() + ":" + peerPort, "oper": n.oper(),
		"target": "http://" + n.backIP() + ":80", "store": "http://" + storeIP + ":" + storePort,
		"secret": "peer-secret-of-the-fleet", "operators": map[string]string{"ana": operatorKey}, "grace": 5,
		// A caller sends again within its patience. A fleet that started less
		// than a window ago runs no request with an idempotency key.
		"window": patience.Seconds(),
	})
	if err != nil {
		return nil, err
	}
	return prefs.Parse(text)
}

// crash ends the daemon as SIGKILL does: from then on it reaches nobody.
func (n *node) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up = false
	n.host.Crash()
	n.stop()
}

// leave begins a planned stop of the daemon and waits for its end.
func (n *node) leave() {
	n.mu.Lock()
	stop, stopped, host := n.stop, n.stopped, n.host
	n.up = false
	n.mu.Unlock()
	stop()
	<-stopped
	host.Crash()
}

// look notes the revision in force at the daemon, once it has had the time to
// learn one.
func (n *node) look() {
	n.mu.Lock()
	defer n.mu.Unlock()
	rev, h := n.daemon.Loop().View().Config().Revision(), n.fleet.history
	if n.up && (rev > 0 || h.Now() > n.since+audit.InForceWithin) {
		h.AddObservation(audit.NewObservation(fmt.Sprintf("%s#%d", n.name(), n.starts), h.Now(), rev))
	}
}

// at returns the node whose daemon has an IP number.
func (f *fleet) at(ip string) *node {
	for _, n := range f.nodes {
		if n.ip() == ip {
			return n
		}
	}
	return nil
}

// revive starts the daemon again after a time, unless the fleet has ended.
func (n *node) revive(after time.Duration) {
	n.fleet.group.Go(func() error {
		time.Sleep(after)
		return n.start()
	})
}

// close ends the fleet. Nothing of it runs on.
func (f *fleet) close() {
	f.cable.SetTap(nil)
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stop()
		n.mu.Unlock()
	}
	for _, n := range f.nodes {
		<-n.stopped
	}
	f.cable.Close()
	_ = f.group.Wait()
	time.Sleep(rest)
}

// rest is how long the last timers of a closed fleet run.
const rest = time.Minute
