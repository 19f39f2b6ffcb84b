package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Times of the case: the load before the loss, the time without machines, the bound of the
// rule, and the time after it in which requests are counted.
const (
	lostBefore   = 10 * time.Second
	lostDown     = 1500 * time.Millisecond
	lostRecovery = 15 * time.Second
	lostAfter    = 20 * time.Second
	// lostInterval is the time between two requests of the whole fleet's clients.
	lostInterval = 40 * time.Millisecond
)

// lostTenants have caps far above what their clients ask for, 8 requests a second each.
func lostTenants() []tenant {
	var all []tenant
	for i := range 3 {
		all = append(all, tenant{name: fmt.Sprintf("loja%d", i), key: fmt.Sprintf("key-of-loja-%d-7c1e", i), rate: 139, burst: 139})
	}
	return all
}

// machine is a node with its endpoint, which ends with it.
type machine struct {
	node *node
	end  context.CancelFunc
}

// addMachine adds a machine with an endpoint that runs from now on.
func (f *fleet) addMachine(ctx context.Context, g *errgroup.Group, name, zone string) (*machine, error) {
	n, err := f.add(name, zone, "pedidos")
	if err != nil {
		return nil, err
	}
	e := &endpoint{rec: f.rec, node: n, id: "i-" + name, slots: 193}
	e.handle = func(e *endpoint, w http.ResponseWriter, r *http.Request, _ []byte) {
		e.answer(w, e.noteRun(r), []byte("done"))
	}
	ctx, end := context.WithCancel(ctx)
	g.Go(func() error { return e.run(ctx) })
	return &machine{node: n, end: end}, nil
}

// addMachines adds two machines in each of three zones.
func (f *fleet) addMachines(ctx context.Context, g *errgroup.Group, generation int) ([]*machine, error) {
	var all []*machine
	for i := range 6 {
		m, err := f.addMachine(ctx, g, fmt.Sprintf("m%d-%d", generation, i+1), fmt.Sprintf("z%d", i%3+1))
		if err != nil {
			return nil, err
		}
		all = append(all, m)
	}
	return all, nil
}

// losePower ends the daemon and the endpoint of a machine. It comes back only if the file
// .gone is missing.
func (f *fleet) losePower(m *machine, forGood bool) error {
	if forGood {
		if err := os.WriteFile(filepath.Join(f.dir, m.node.name+".gone"), nil, 0o600); err != nil {
			return err
		}
	}
	m.end()
	return f.signal(m.node, syscall.SIGKILL)
}

// playLost has all machines lose power at once. Others with the same roles are added in
// their place, at new addresses. With LOST=same they come back at their old addresses.
func playLost(ctx context.Context, g *errgroup.Group, f *fleet, trouble bool) (outcome, error) {
	first, err := f.addMachines(ctx, g, 1)
	if err != nil {
		return cannot, err
	}
	f.configure([]route{{prefix: "/pedidos/", kind: "non_idempotent", service: "pedidos", timeout: "1000ms", keyed: true}}, lostTenants())
	if err := f.start(ctx, g); err != nil {
		return cannot, err
	}
	sleep(ctx, 3*time.Second)
	before := f.tenantLoad(ctx, lostBefore, "a")
	f.rec.add("before: %s", before)
	if trouble {
		if err := f.replaceAll(ctx, g, first); err != nil {
			return cannot, err
		}
	}
	early := f.tenantLoad(ctx, lostRecovery, "b")
	f.rec.add("until %s after the machines are back: %s", lostRecovery, early)
	after := f.tenantLoad(ctx, lostAfter, "c")
	f.rec.add("RECOVER: sent later than that: %s", after)
	if before.share() < 0.25 {
		return cannot, nil
	}
	if after.share() < 0.25 {
		return broken, nil
	}
	return held, nil
}

// replaceAll has all machines lose power, and others come, or the same.
func (f *fleet) replaceAll(ctx context.Context, g *errgroup.Group, first []*machine) error {
	same := os.Getenv("LOST") == "same"
	for _, m := range first {
		if err := f.losePower(m, !same); err != nil {
			return err
		}
	}
	sleep(ctx, lostDown)
	if same {
		for _, m := range first {
			e := &endpoint{rec: f.rec, node: m.node, id: "i2-" + m.node.name, slots: 193}
			e.handle = func(e *endpoint, w http.ResponseWriter, r *http.Request, _ []byte) {
				e.answer(w, e.noteRun(r), []byte("done"))
			}
			g.Go(func() error { return e.run(ctx) })
		}
		return f.awaitReady(ctx)
	}
	f.nodes = nil
	if _, err := f.addMachines(ctx, g, 2); err != nil {
		return err
	}
	return f.start(ctx, g)
}

// tally counts requests.
type tally struct{ sent, served, refused atomic.Int64 }

func (t *tally) share() float64 { return float64(t.served.Load()) / float64(max(1, t.sent.Load())) }

// String describes the counts.
func (t *tally) String() string {
	return fmt.Sprintf("%d requests sent, %d served, %d answered with 429", t.sent.Load(), t.served.Load(), t.refused.Load())
}

// tenantLoad has clients at all machines in turn send orders for a time.
func (f *fleet) tenantLoad(ctx context.Context, d time.Duration, name string) *tally {
	t := &tally{}
	var g errgroup.Group
	end := time.Now().Add(d)
	tenants := lostTenants()
	for k := 0; time.Now().Before(end) && ctx.Err() == nil; k++ {
		n, key := f.nodes[k%len(f.nodes)], tenants[k%len(tenants)].key
		g.Go(func() error {
			q := request{method: http.MethodPost, path: "/pedidos/o", id: fmt.Sprintf("%s%d", name, k), key: key, limit: 3 * time.Second, body: []byte("order")}
			a := n.once(q)
			t.sent.Add(1)
			switch {
			case a.isServed():
				t.served.Add(1)
			case a.status == http.StatusTooManyRequests:
				t.refused.Add(1)
			}
			f.rec.add("client id=%s at %s: %s", q.id, n.name, a)
			return nil
		})
		sleep(ctx, lostInterval)
	}
	_ = g.Wait()
	return t
}
