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
	"anvilstand/proof/memnet"
)

// domains are the failure domains. The n-th, counted from one, has the IP
// addresses 10.n.*.*.
var domains = []model.Domain{"north", "east", "south"}

// services have one target in each domain. Daemon m of domain n, both counted
// from one, has the IP address 10.n.m.1 and its target 10.n.m.2.
var services = []model.Service{"stock", "order"}

// Addresses of the fleet, and the one-way delay of its links.
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
	fleet         *fleet
	domain, index int
	starting      chan struct{} // holds one element while a start is in progress
	mu            sync.Mutex
	host          *memnet.Host
	daemon        *daemon.Daemon
	stop          context.CancelFunc
	stopped       chan struct{}
	target        *target
	starts        int
	startedAt     time.Duration
	running       bool
	fixedFront    string // overrides the address in the in-memory network
	fixedOper     string
}

func (n *node) daemonIP() string     { return fmt.Sprintf("10.%d.%d.1", n.domain+1, n.index+1) }
func (n *node) name() string         { return fmt.Sprintf("%s-%s-%d", n.service(), domains[n.domain], n.index) }
func (n *node) frontAddress() string { return cmp.Or(n.fixedFront, n.daemonIP()+":"+frontPort) }
func (n *node) operAddress() string  { return cmp.Or(n.fixedOper, n.daemonIP()+":"+operPort) }
func (n *node) targetIP() string     { return fmt.Sprintf("10.%d.%d.2", n.domain+1, n.index+1) }

func (n *node) service() model.Service { return services[n.index%len(services)] }

// fleet is the store, the daemons, the targets and the callers of one cell.
type fleet struct {
	net              *memnet.Network
	store            fake.Store
	nodes            []*node
	group            errgroup.Group
	history          *audit.History
	logs             logBuffer
	callers          []*http.Client
	resend           atomic.Bool
	tapMu            sync.Mutex
	taps             []memnet.Tap
	tapCallMu        sync.Mutex
	daemonsPerDomain int
	matches          func(Step, memnet.Write) bool
	wrapTarget       func(http.Handler) http.Handler
	wrapStore        func(store.Store) store.Store
}

// logBuffer collects the log of all daemons.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the buffer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

func newFleet() *fleet {
	f := &fleet{net: &memnet.Network{}, history: audit.New(plan()), daemonsPerDomain: len(services)}
	f.net.SetDelay(linkDelay)
	f.net.SetTap(f.tap)
	f.matches = f.matchesStep
	return f
}

// addTap adds a tap after the others.
func (f *fleet) addTap(t memnet.Tap) {
	f.tapMu.Lock()
	defer f.tapMu.Unlock()
	f.taps = append(f.taps, t)
}

// tap asks the taps in order. The first that returns an action decides.
func (f *fleet) tap(w memnet.Write) memnet.Action {
	f.tapMu.Lock()
	taps := f.taps
	f.tapMu.Unlock()
	f.tapCallMu.Lock()
	defer f.tapCallMu.Unlock()
	for _, t := range taps {
		if action := t(w); action != nil {
			return action
		}
	}
	return nil
}

// start starts the store, the callers, the targets and the daemons.
func (f *fleet) start() error {
	if err := f.startStore(); err != nil {
		return err
	}
	for domain := range domains {
		f.callers = append(f.callers, newCaller(f.net.Host(callerIP(domain))))
		for i := range services {
			node := &node{fleet: f, domain: domain, index: i, starting: make(chan struct{}, 1)}
			node.target = &target{node: node, wrap: f.wrapTarget}
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

func callerIP(domain int) string { return fmt.Sprintf("10.%d.9.1", domain+1) }

func newCaller(h wire.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: h.DialContext, DisableCompression: true}}
}

func (f *fleet) startStore() error {
	ln, err := f.net.Host(storeIP).Listen(storeIP + ":" + storePort)
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

// start starts the node's daemon as a new process once the previous one has
// ended, and does nothing when it runs.
func (n *node) start() error {
	n.starting <- struct{}{}
	defer func() { <-n.starting }()
	n.mu.Lock()
	running, stopped := n.running, n.stopped
	n.mu.Unlock()
	if running {
		return nil
	}
	if stopped != nil {
		<-stopped
	}
	return n.launch()
}

// launch runs a new incarnation of the daemon on a new host.
func (n *node) launch() error {
	host := n.fleet.net.Host(n.daemonIP())
	p, err := n.settings()
	if err != nil {
		return err
	}
	var s store.Store = store.NewClient(p.Store(), newCaller(host))
	if n.fleet.wrapStore != nil {
		s = n.fleet.wrapStore(s)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: n.name(), Output: &n.fleet.logs, Level: hclog.Debug})
	d, err := daemon.New(p, host, s, log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	n.mu.Lock()
	n.host, n.daemon, n.stop, n.stopped = host, d, stop, stopped
	n.starts, n.startedAt, n.running = n.starts+1, n.fleet.history.Now(), true
	n.mu.Unlock()
	n.fleet.group.Go(func() error {
		defer close(stopped)
		_ = d.Run(ctx)
		return nil
	})
	return nil
}

func (n *node) settings() (*prefs.Settings, error) {
	text, err := json.Marshal(map[string]any{
		"name": n.name(), "domain": domains[n.domain], "service": n.service(),
		"front": n.frontAddress(), "peer": n.daemonIP() + ":" + peerPort, "oper": n.operAddress(),
		"target": "http://" + n.targetIP() + ":80", "store": "http://" + storeIP + ":" + storePort,
		"secret": "peer-secret-of-the-fleet", "operators": map[string]string{"ana": operatorKey}, "grace": 5,
		// Callers resend within their timeout. A fleet that started less than
		// a window ago executes no request with an idempotency key.
		"window": callerTimeout.Seconds(),
	})
	if err != nil {
		return nil, err
	}
	return prefs.Parse(text)
}

// crash ends the daemon as SIGKILL does: it sends nothing more.
func (n *node) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running = false
	n.host.Crash()
	n.stop()
}

// leave makes a planned stop of the daemon and waits for its end.
func (n *node) leave() {
	n.mu.Lock()
	stop, stopped, host := n.stop, n.stopped, n.host
	n.running = false
	n.mu.Unlock()
	stop()
	<-stopped
	host.Crash()
}

// observe adds the revision in force at the daemon to the history, once the
// daemon has one or should have one.
func (n *node) observe() {
	n.mu.Lock()
	defer n.mu.Unlock()
	rev, h := n.daemon.Loop().View().Config().Revision(), n.fleet.history
	if n.running && (rev > 0 || h.Now() > n.startedAt+audit.InForceWithin) {
		h.AddObservation(audit.NewObservation(fmt.Sprintf("%s#%d", n.name(), n.starts), h.Now(), rev))
	}
}

// nodeAt returns the node whose daemon has an IP address, or nil.
func (f *fleet) nodeAt(ip string) *node {
	for _, n := range f.nodes {
		if n.daemonIP() == ip {
			return n
		}
	}
	return nil
}

// restartAfter starts the daemon again after a delay, without waiting for it.
func (n *node) restartAfter(delay time.Duration) {
	n.fleet.group.Go(func() error {
		time.Sleep(delay)
		return n.start()
	})
}

// close ends the fleet and waits until nothing of it runs any more.
func (f *fleet) close() {
	f.net.SetTap(nil)
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stop()
		n.mu.Unlock()
	}
	for _, n := range f.nodes {
		<-n.stopped
	}
	f.net.Close()
	_ = f.group.Wait()
	time.Sleep(timerWait)
}

// timerWait is how long close waits at its end: longer than the last timers of the
// fleet take to fire.
const timerWait = time.Minute
