package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of the operator's configuration.
type route struct {
	prefix, kind, service string
	timeout               string
	keyed                 bool // requests carry a tenant's key
}

// tenant is a tenant of the operator's configuration.
type tenant struct {
	name, key   string
	rate, burst int
}

// configure writes the next configuration, as the operator does.
func (f *fleet) configure(routes []route, tenants []tenant) {
	f.version += 3
	var rs, ss, ts []map[string]any
	for i, r := range routes {
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeout": r.timeout,
			"targetLatency": "1500ms", "priority": 1, "service": r.service, "maxAttempts": 2, "noAuth": !r.keyed,
		})
	}
	for _, s := range f.services() {
		ss = append(ss, map[string]any{
			"name": s, "healthPath": "/health", "maxConnections": 970, "protocol": "h1", "tls": false, "warmup": "3s", "warmupPerS": 29.0,
		})
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "priority": 1, "ratePerS": t.rate, "burst": t.burst})
	}
	config := map[string]any{
		"version": fmt.Sprintf("%08x", f.version), "routes": rs, "services": ss,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
	if len(ts) > 0 {
		config["tenants"] = ts
	}
	data, _ := json.Marshal(config)
	f.rec.add("the operator writes the configuration %s", data)
	f.store.put("op/config", data)
}

// services returns the services of the machines.
func (f *fleet) services() []string {
	var all []string
	seen := map[string]bool{}
	for _, n := range f.nodes {
		if !seen[n.service] {
			seen[n.service] = true
			all = append(all, n.service)
		}
	}
	return all
}
