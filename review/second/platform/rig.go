//go:build review

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// Ports of a machine. The script fills the same ones into the settings.
const (
	portStore   = "8545"
	portFront   = "8548"
	portReady   = "8546"
	portControl = "8540"
	portTarget  = "8547"
)

// machine is a machine with one daemon and one target.
type machine struct {
	name    string
	ip      string
	service string
	zone    string
}

func (m machine) front() string   { return net.JoinHostPort(m.ip, portFront) }
func (m machine) ready() string   { return net.JoinHostPort(m.ip, portReady) }
func (m machine) control() string { return net.JoinHostPort(m.ip, portControl) }
func (m machine) target() string  { return net.JoinHostPort(m.ip, portTarget) }

// rig is the platform around the daemons of one case.
type rig struct {
	folder   string
	storeIP  string
	trouble  bool
	record   *record
	machines []machine
	store    *store
	servers  []*http.Server
	group    errgroup.Group
}

// startStore starts the store, without a configuration.
func (r *rig) startStore(ctx context.Context) error {
	r.store = newStore()
	return r.serve(ctx, net.JoinHostPort(r.storeIP, portStore), r.store)
}

// serve serves a handler until stopStandIns.
func (r *rig) serve(ctx context.Context, address string, h http.Handler) error {
	var config net.ListenConfig
	ln, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "start a stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, s)
	r.group.Go(func() error {
		_ = s.Serve(ln)
		return nil
	})
	return nil
}

func (r *rig) stopStandIns() {
	for _, s := range r.servers {
		_ = s.Close()
	}
	_ = r.group.Wait()
}

// configure writes the configuration with routes, each as HOST/PREFIX/ KIND SERVICE
// TIMEOUT. Routes take callers without a key.
func (r *rig) configure(routes ...string) error {
	return r.putConfig("00000007", true, []any{tenant("pulo780", "6wsjnbanfqasnmgkcuyj", 160, 160)}, routes)
}

// tenant returns an organisation of the configuration.
func tenant(name, key string, rate, burst float64) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1, "ratePerS": rate, "burst": burst}
}

// putConfig writes a version of the configuration. With open routes, callers need no key.
func (r *rig) putConfig(version string, open bool, tenants []any, routes []string) error {
	type object = map[string]any
	var list, services []any
	for i, text := range routes {
		f := strings.Fields(text)
		if len(f) != 4 {
			return errors.Errorf("route %q", text)
		}
		host, prefix, _ := strings.Cut(f[0], "/")
		list = append(list, object{
			"name": "r-" + strconv.Itoa(i), "host": host, "pathPrefix": "/" + prefix, "kind": f[1], "service": f[2],
			"timeout": f[3], "targetLatency": "1500ms", "priority": 1, "maxAttempts": 2, "noAuth": open,
		})
	}
	seen := map[string]bool{}
	for _, m := range r.machines {
		if seen[m.service] {
			continue
		}
		seen[m.service] = true
		services = append(services, object{
			"name": m.service, "healthPath": "/health", "maxConnections": 800, "protocol": "h1", "tls": false,
			"warmup": "3s", "warmupPerS": 26.0,
		})
	}
	data, err := json.Marshal(object{
		"version": version, "routes": list, "services": services, "tenants": tenants,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err != nil {
		return err
	}
	r.store.put("op/config", data)
	return nil
}

// signal sends a signal to the daemon of a machine.
func (r *rig) signal(m machine, s syscall.Signal) error {
	text, err := os.ReadFile(filepath.Join(r.folder, m.name+".pid"))
	if err != nil {
		return errors.Wrap(err, "read the process id")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return errors.Wrap(err, "read the process id")
	}
	r.record.note("signal %v to the daemon of %s", s, m.name)
	return syscall.Kill(pid, s)
}

// awaitReady waits until the daemons of all machines say that they are ready.
func (r *rig) awaitReady(ctx context.Context) error {
	for _, m := range r.machines {
		if err := r.await(ctx, 20*time.Second, func() bool { return r.isReady(ctx, m) }); err != nil {
			return errors.Wrapf(err, "daemon of %s is not ready", m.name)
		}
	}
	return nil
}

func (r *rig) isReady(ctx context.Context, m machine) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready()+"/api/ready", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errLate = errors.New("took too long")

// await waits until a condition holds.
func (r *rig) await(ctx context.Context, limit time.Duration, ok func() bool) error {
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			return errLate
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
