//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// group runs everything that a case starts in the background.
var group sync.WaitGroup

func background(f func()) { group.Go(f) }

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment: the store, the daemons as processes, and the endpoints
// beside them.
type fleet struct {
	dir     string
	rec     *record
	store   *kvStore
	nodes   []*node
	trouble bool
	tenants []map[string]any // without any, all routes are open
}

// node is one machine: a daemon process and its endpoint.
type node struct {
	fleet    *fleet
	name     string
	zone     string
	service  string
	ip       string
	settings string
	endpoint *endpoint

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{} // closed when the process has ended
	killed bool          // this program sent the signal that ended it
}

// Ports of a machine. Each machine has a loopback address of its own.
const (
	portControl  = 8540
	portInbound  = 8543
	portReady    = 8546
	portApp      = 8547
	portOutbound = 8548
	portOper     = 7000
)

// Bounds as in the site files.
const (
	graceBound = 6 * time.Second
	touchBound = 3 * time.Second
	drainBound = 2 * time.Second
	beatTime   = 1500 * time.Millisecond
)

// newFleet starts the store.
func newFleet(rec *record, trouble bool) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, rec: rec, store: s, trouble: trouble}, nil
}

// freeIP returns a loopback address of which all ports of a machine are free.
func freeIP(n int) (string, error) {
	for i := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, 1+i, n+2)
		if allFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

func allFree(ip string) bool {
	for _, port := range []int{portControl, portInbound, portReady, portApp, portOutbound, portOper} {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)\}\}`)

// writeSettings fills in the template of the deploy file, as the platform does.
func (n *node) writeSettings() error {
	text, err := os.ReadFile("deploy/settings.hujson")
	if err != nil {
		return err
	}
	values := map[string]string{
		"node": n.name, "zone": n.zone, "service": n.service, "ip": n.ip,
		"listen.outbound": n.addr(portOutbound), "listen.inbound": n.addr(portInbound),
		"listen.ready": n.addr(portReady), "listen.control": n.addr(portControl),
		"appAddr": n.addr(portApp), "platform.address": n.fleet.store.addr,
		"bounds.grace": "6s", "bounds.quotaExcess": "0.1", "bounds.quotaSlack": "20", "bounds.quotaWindow": "5s",
	}
	missing := ""
	out := placeholder.ReplaceAllStringFunc(string(text), func(m string) string {
		v, ok := values[strings.Trim(m, "{}")]
		if !ok {
			missing = m
		}
		return v
	})
	if missing != "" {
		return fmt.Errorf("template: no value for %s", missing)
	}
	n.settings = filepath.Join(n.fleet.dir, n.name+".conf")
	return os.WriteFile(n.settings, []byte(out), 0o600)
}

// addNode adds a machine and starts its endpoint and its daemon.
func (f *fleet) addNode(name, zone, service string, slots int) (*node, error) {
	ip, err := freeIP(len(f.nodes))
	if err != nil {
		return nil, err
	}
	n := &node{fleet: f, name: name, zone: zone, service: service, ip: ip}
	f.nodes = append(f.nodes, n)
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	n.endpoint = newEndpoint(n, slots)
	if err := n.endpoint.start(); err != nil {
		return nil, err
	}
	return n, n.start()
}

// start starts the daemon by the run line of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/anvilstand", "serve", "--json")
	cmd.Env = []string{"ANVILSTAND_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended, n.killed = cmd, ended, false
	n.fleet.rec.logf("daemon %s: process %d started", n.name, cmd.Process.Pid)
	background(func() {
		err := cmd.Wait()
		n.fleet.rec.logf("daemon %s: process %d ended: %v", n.name, cmd.Process.Pid, err)
		close(ended)
	})
	return nil
}

// signal sends a signal to the daemon.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s != syscall.SIGSTOP && s != syscall.SIGCONT && s != syscall.SIGHUP {
		n.killed = true
	}
	n.fleet.rec.logf("daemon %s: %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// restart kills the daemon and starts it again, as the platform does.
func (n *node) restart(s syscall.Signal) error {
	n.signal(s)
	select {
	case <-n.ended:
	case <-time.After(graceBound):
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
	return n.start()
}

// crashed reports whether the daemon ended by itself.
func (n *node) crashed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return !n.killed
	default:
		return false
	}
}

// ready asks the daemon as the platform does.
func (n *node) ready() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.addr(portReady) + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready, and longer until all machines count as
// in touch.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range f.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s is not ready after 15 s", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.rec.logf("all daemons are ready")
	time.Sleep(touchBound + 500*time.Millisecond)
	return nil
}

// close ends everything that the case started.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.endpoint != nil {
			n.endpoint.stop()
		}
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			n.mu.Lock()
			n.killed = true
			n.mu.Unlock()
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", f.dir)
	}
}

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service, timeout string
	attempts                             int
}

const (
	routeHost = "shop.example"
	tenantKey = "8pjbvk9m68k7b2ex5wa5"
)

// configure writes a configuration. Without tenants its routes are open.
func (f *fleet) configure(version int, routes []route) {
	var rs, ss []map[string]any
	seen := map[string]bool{}
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": routeHost, "pathPrefix": r.prefix, "kind": r.kind, "timeout": r.timeout,
			"targetLatency": "1500ms", "priority": 1, "service": r.service, "maxAttempts": r.attempts, "noAuth": len(f.tenants) == 0,
		})
		if !seen[r.service] {
			seen[r.service] = true
			ss = append(ss, map[string]any{
				"name": r.service, "healthPath": "/health", "maxConnections": 800, "protocol": "h1", "tls": false,
				"warmup": "3s", "warmupPerS": 26.0,
			})
		}
	}
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": rs, "services": ss, "tenants": append([]map[string]any{}, f.tenants...),
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	f.store.put("op/config", b.String())
	f.rec.logf("operator: configuration %08x is confirmed", version)
}

// sleepUntil waits until a time, or until ctx ends.
func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}
