package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case.
const (
	tenantName     = "Pilha Sonora"
	tenantKey      = "key-of-pilha-sonora-51d0"
	tenantConfig   = 2 * time.Second // bound for a configuration to be in force
	tenantRequests = 100
	// tenantAllowed and tenantShare are the bounds of the rule: five, and one in so many.
	tenantAllowed = 5
	tenantShare   = 500
)

// playTenant has the operator add a tenant with a name of two words. Without the change,
// the same requests carry the key of a tenant that was there before.
func playTenant(ctx context.Context, g *errgroup.Group, f *fleet, trouble bool) (outcome, error) {
	for i, service := range []string{"pedidos", "estoque", "catalogo"} {
		n, err := f.add(fmt.Sprintf("m%d", i+1), fmt.Sprintf("z%d", i+1), service)
		if err != nil {
			return cannot, err
		}
		e := &endpoint{rec: f.rec, node: n, id: "i-" + n.name, slots: 193}
		e.handle = func(e *endpoint, w http.ResponseWriter, r *http.Request, _ []byte) {
			e.answer(w, e.noteRun(r), []byte("done"))
		}
		g.Go(func() error { return e.run(ctx) })
	}
	routes := []route{{prefix: "/pedidos/", kind: "non_idempotent", service: "pedidos", timeout: "1000ms", keyed: true}}
	tenants := []tenant{{name: "pulo780", key: "key-of-pulo780-6wsj", rate: 139, burst: 139}}
	f.configure(routes, tenants)
	if err := f.start(ctx, g); err != nil {
		return cannot, err
	}
	sleep(ctx, 4*time.Second)
	key := tenants[0].key
	if trouble {
		key = tenantKey
		f.configure(routes, append(tenants, tenant{name: tenantName, key: tenantKey, rate: 139, burst: 139}))
		sleep(ctx, tenantConfig)
	}
	sleep(ctx, 2*time.Second)
	served, denied := countDenied(f.ordersOf(ctx, key))
	f.rec.add("DENIED: of %d proper requests, %d were served and %d ended with a 4xx of the daemons, none of them 408, 421 or 429", tenantRequests, served, denied)
	if denied > tenantAllowed+tenantRequests/tenantShare {
		return broken, nil
	}
	return held, nil
}

// ordersOf sends orders with a key at all machines in turn.
func (f *fleet) ordersOf(ctx context.Context, key string) []reply {
	var answers []reply
	for k := range tenantRequests {
		n := f.nodes[k%len(f.nodes)]
		q := request{method: http.MethodPost, path: "/pedidos/o", id: fmt.Sprintf("t%x", k), key: key, limit: 3 * time.Second, body: []byte("order")}
		a := n.once(q)
		f.rec.add("client id=%s at %s: %s", q.id, n.name, a)
		answers = append(answers, a)
		sleep(ctx, 50*time.Millisecond)
	}
	return answers
}
