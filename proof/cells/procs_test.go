package cells

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/io/wire"
	"anvilstand/proof/audit"
)

// Times of the trial with processes.
const (
	procsLast  = 16 * time.Second
	procsWide  = 4 // daemons in each failure domain
	procsGrace = 5 * time.Second
)

// procs are the processes of the trial: a store and a dozen daemons, each with
// its target in the test's process.
type procs struct {
	t      *testing.T
	binary string
	dir    string
	fleet  *fleet
	store  string
	mu     sync.Mutex
	cmds   map[string]*exec.Cmd
	files  map[string]string
	output bytes.Buffer
}

// TestProcesses kills, pauses and stops real processes under traffic.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	p := startProcs(t)
	h := p.fleet.history
	ctx, cancel := context.WithTimeout(context.Background(), procsLast)
	defer cancel()
	p.fleet.tell(ctx, 0, opSetup, setup())
	time.Sleep(2 * time.Second)
	var g errgroup.Group
	g.Go(func() error {
		p.fleet.traffic(ctx, 1)
		return nil
	})
	time.Sleep(time.Second)
	p.killAndRestart("stock-north-0")
	p.pause("order-east-1", 2*time.Second)
	from, until := p.stop("stock-south-2")
	p.pause("store", time.Second)
	p.fleet.tell(ctx, 0, opWithdraw, "withdraw key "+withdrawn)
	<-ctx.Done()
	h.Finish()
	_ = g.Wait()
	p.checkLogs()
	judge(t, h, "all", readRed(t, t.Name()), []audit.Promise{
		audit.Own{}, audit.Truth{}, audit.Once{}, audit.Rate{}, audit.Key{}, audit.Secret{}, audit.Bound{}, audit.Back{},
	})
	if broken := cutWithin(h, from, until); broken != "" {
		t.Error("planned stop: ", broken)
	}
	t.Logf("%d requests sent, %d run", len(h.Sent()), len(h.Ran()))
}

func startProcs(t *testing.T) *procs {
	t.Helper()
	p := &procs{t: t, dir: t.TempDir(), fleet: newFleet(), cmds: map[string]*exec.Cmd{}, files: map[string]string{}}
	p.fleet.wide = procsWide
	p.binary = filepath.Join(p.dir, "anvilstand")
	if text, err := exec.Command("go", "build", "-o", p.binary, "anvilstand").CombinedOutput(); err != nil {
		t.Fatal(err, string(text))
	}
	t.Cleanup(p.close)
	p.store = freeAddress(t)
	p.start("store", "store", "--listen", p.store)
	for n := range domains {
		p.fleet.callers = append(p.fleet.callers, newCaller(wire.TCP{}))
		for m := range procsWide {
			p.add(n, m)
		}
	}
	p.await()
	return p
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// add starts a target and the daemon beside it.
func (p *procs) add(n, m int) {
	p.t.Helper()
	node := &node{fleet: p.fleet, n: n, m: m, frontAt: freeAddress(p.t), operAt: freeAddress(p.t)}
	node.target = &target{node: node, client: newCaller(wire.TCP{})}
	back := httptest.NewServer(node.target)
	p.t.Cleanup(back.Close)
	p.fleet.nodes = append(p.fleet.nodes, node)
	text, err := json.Marshal(map[string]any{
		"name": node.name(), "domain": domains[n], "service": node.service(),
		"front": node.front(), "peer": freeAddress(p.t), "oper": node.oper(),
		"target": back.URL, "store": "http://" + p.store, "secret": "peer-secret-of-the-fleet",
		"operators": map[string]string{"ana": operatorKey}, "grace": procsGrace.Seconds(),
		"window": patience.Seconds(),
	})
	if err != nil {
		p.t.Fatal(err)
	}
	file := filepath.Join(p.dir, node.name()+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.files[node.name()] = file
	p.start(node.name(), "serve", "--settings", file)
}

// Write collects what the processes print.
func (p *procs) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

func (p *procs) start(name string, args ...string) {
	p.t.Helper()
	cmd := exec.Command(p.binary, args...)
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.cmds[name] = cmd
}

// await waits until every daemon takes connections.
func (p *procs) await() {
	p.t.Helper()
	for _, n := range p.fleet.nodes {
		for range 100 {
			w, err := http.Get("http://" + n.oper() + "/metrics")
			if err == nil {
				_ = w.Body.Close()
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (p *procs) signal(name string, s syscall.Signal) {
	p.t.Helper()
	if err := p.cmds[name].Process.Signal(s); err != nil {
		p.t.Fatal(name, err)
	}
}

// killAndRestart ends a daemon without notice and starts it again.
func (p *procs) killAndRestart(name string) {
	p.t.Helper()
	p.signal(name, syscall.SIGKILL)
	_ = p.cmds[name].Wait()
	p.fleet.history.Strike(time.Second)
	time.Sleep(time.Second)
	p.start(name, "serve", "--settings", p.files[name])
	time.Sleep(time.Second)
}

// pause stops a process for a time and lets it go on.
func (p *procs) pause(name string, lasts time.Duration) {
	p.t.Helper()
	p.signal(name, syscall.SIGSTOP)
	p.fleet.history.Strike(lasts)
	time.Sleep(lasts)
	p.signal(name, syscall.SIGCONT)
	time.Sleep(time.Second)
}

// stop makes a planned stop and returns when it began and ended.
func (p *procs) stop(name string) (from, until time.Duration) {
	p.t.Helper()
	from = p.fleet.history.Now()
	p.signal(name, syscall.SIGTERM)
	late := time.AfterFunc(2*procsGrace, func() { _ = p.cmds[name].Process.Kill() })
	defer late.Stop()
	if err := p.cmds[name].Wait(); err != nil {
		p.t.Errorf("%s: planned stop: %v", name, err)
	}
	delete(p.cmds, name)
	return from, p.fleet.history.Now()
}

// cutWithin finds a request that was cut, or whose run is unknown, and that
// was under way within a time.
func cutWithin(h *audit.History, from, until time.Duration) string {
	for _, s := range h.Sent() {
		if s.Until() < from || s.From() > until {
			continue
		}
		switch end := s.End().(type) {
		case audit.Cut:
			return fmt.Sprintf("request %s (%v to %v): %s", s.ID(), s.From(), s.Until(), end.Step())
		case audit.Refused:
			if end.Run() != "not" {
				return fmt.Sprintf("request %s (%v to %v): %s, run %s", s.ID(), s.From(), s.Until(), end.Reason(), end.Run())
			}
		case audit.Whole, audit.Unreached:
		}
	}
	return ""
}

func (p *procs) checkLogs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		if bytes.Contains(p.output.Bytes(), []byte(key)) {
			p.fleet.history.Leak("the output of a process")
		}
	}
}

// close ends every process that is left, by its id.
func (p *procs) close() {
	for _, cmd := range p.cmds {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}
