package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// node is one machine: its daemon, which case.sh starts, and the addresses on it.
type node struct {
	name, zone, service               string
	front, peer, ready, control, app  string
	storeAddress, settings, processID string
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir    string
	rec    *record
	store  *store
	nodes  []*node
	subnet int // second number of the addresses, 127.N.x.1
	added  int // machines added so far
	waves  int // times that daemons were started
	// version is that of the newest configuration.
	version int
}

// operPort is the port of the daemons' metrics in the template of the deploy file.
const operPort = 7000

// newFleet returns a fleet without machines that writes its files to dir.
func newFleet(dir string, rec *record) (*fleet, error) {
	f := &fleet{dir: dir, rec: rec, store: newStore()}
	for range 20 {
		f.subnet = 20 + rand.IntN(200)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", f.subnet, operPort))
		if err == nil {
			return f, ln.Close()
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// add adds a machine and writes its daemon's settings, as the template of the deploy file
// has them.
func (f *fleet) add(name, zone, service string) (*node, error) {
	f.added++
	ip := fmt.Sprintf("127.%d.%d.1", f.subnet, f.added)
	ports, err := freePorts(ip, 6)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: name, zone: zone, service: service,
		front: ports[0], peer: ports[1], ready: ports[2], control: ports[3], app: ports[4], storeAddress: ports[5],
		settings: filepath.Join(f.dir, name+".conf"), processID: filepath.Join(f.dir, name+".pid"),
	}
	text := fmt.Sprintf(`{
	"form": "platform", "name": %q, "domain": %q, "service": %q,
	"front": %q, "peer": %q, "oper": "%s:%d", "ready": %q, "beats": %q,
	"target": "http://%s", "store": "http://%s", "secret": "anvilstand-peers",
	"grace": "6s", "excess": 0.1, "slack": 20, "span": "5s", "settle": "2500ms", "deadline": "60s", "conns": 1800,
}
`, name, zone, service, n.front, n.peer, ip, operPort, n.ready, n.control, n.app, n.storeAddress)
	f.nodes = append(f.nodes, n)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// freePorts returns free addresses at an IP address.
func freePorts(ip string, n int) ([]string, error) {
	var all []string
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		all = append(all, ln.Addr().String())
	}
	return all, nil
}

// start serves the store to the machines of the fleet, has case.sh start their daemons, and
// waits until all say that they take callers.
func (f *fleet) start(ctx context.Context, g *errgroup.Group) error {
	var names []string
	for _, n := range f.nodes {
		ln, err := net.Listen("tcp", n.storeAddress)
		if err != nil {
			return err
		}
		g.Go(func() error { return f.store.serve(ctx, ln) })
		names = append(names, n.name)
	}
	f.waves++
	file := filepath.Join(f.dir, fmt.Sprintf("daemons%d", f.waves))
	if err := os.WriteFile(file+".new", []byte(strings.Join(names, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	if err := os.Rename(file+".new", file); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

// readyTimeout limits the start of the daemons.
const readyTimeout = 15 * time.Second

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range f.nodes {
		for !n.isReady(ctx) {
			if ctx.Err() != nil {
				return errors.Errorf("%s is not ready", n.name)
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	f.rec.add("all daemons say that they are ready")
	return nil
}

// isReady asks a daemon the platform's question, on a connection of its own.
func (n *node) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/api/ready", http.NoBody)
	if err != nil {
		return false
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the daemon of a machine.
func (f *fleet) signal(n *node, s syscall.Signal) error {
	text, err := os.ReadFile(n.processID)
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return err
	}
	f.rec.add("signal %q to the daemon of %s", s, n.name)
	return syscall.Kill(pid, s)
}

// serveUntil serves HTTP at a listener until ctx ends, and then closes all connections.
func serveUntil(ctx context.Context, ln net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	var g errgroup.Group
	g.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return g.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func sortByKey(list []map[string]any) {
	slices.SortFunc(list, func(a, b map[string]any) int { return strings.Compare(a["key"].(string), b["key"].(string)) })
}
