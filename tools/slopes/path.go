package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/daemon"
	"anvilstand/io/fake"
	"anvilstand/io/prefs"
	"anvilstand/io/wire"
)

// operatorKey is the operator's key at the measured daemons.
const operatorKey = "slopes-operator"

// measurePath compares requests through two daemons with requests sent directly to
// the target, and returns a table of both.
func measurePath(ctx context.Context, requests int) (string, error) {
	ctx, stop := context.WithCancel(ctx)
	var (
		store fake.Store
		g     errgroup.Group
	)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	defer target.Close()
	entry, err := startDaemon(ctx, &g, &store, "entry", target.URL)
	if err != nil {
		stop()
		return "", err
	}
	if _, err = startDaemon(ctx, &g, &store, "stock", target.URL); err == nil {
		err = openRoute(ctx, entry)
	}
	text := ""
	if err == nil {
		text, err = compare(target.URL+"/open", "http://"+entry.FrontAddress()+"/stock/open", requests)
	}
	stop()
	return text, errors.Join(err, g.Wait())
}

// startDaemon starts a daemon of a service on free local ports, beside a target.
func startDaemon(ctx context.Context, g *errgroup.Group, s *fake.Store, service, target string) (*daemon.Daemon, error) {
	text, err := json.Marshal(map[string]any{
		"name": service, "domain": "north", "service": service, "target": target, "store": "http://127.0.0.1:1",
		"front": "127.0.0.1:0", "peer": "127.0.0.1:0", "oper": "127.0.0.1:0", "secret": "slopes-secret",
		"operators": map[string]string{"slopes": operatorKey},
	})
	if err != nil {
		return nil, err
	}
	p, err := prefs.Parse(text)
	if err != nil {
		return nil, err
	}
	d, err := daemon.New(p, wire.TCP{}, s, hclog.NewNullLogger())
	if err != nil {
		return nil, err
	}
	g.Go(func() error { return d.Run(ctx) })
	return d, nil
}

// openRoute adds a route that needs no key and waits until a request succeeds. It
// makes 200 attempts at most, 50 ms apart.
func openRoute(ctx context.Context, d *daemon.Daemon) error {
	const text = "add service stock; add route stock GET /open idempotent open"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.OperAddress()+"/tell?op=open", strings.NewReader(text))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	for range 200 {
		if get(http.DefaultClient, "http://"+d.FrontAddress()+"/stock/open") == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("open route /stock/open: no answer with status 200 in 200 attempts")
}

// get sends a GET request, reads the body and fails on any status but 200.
func get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// compare sends n requests directly, then n through the daemons, one after the
// other, and returns a table of latency and processor time. The processor time covers
// the whole process: client, daemons and target.
func compare(direct, daemons string, n int) (string, error) {
	var text strings.Builder
	text.WriteString("path     p50 ms  p99 ms  processor us a request\n")
	for _, url := range []string{direct, daemons} {
		h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		processorBefore := processorTime()
		for range n {
			began := time.Now()
			if err := get(http.DefaultClient, url); err != nil {
				return "", err
			}
			_ = h.RecordValue(time.Since(began).Microseconds())
		}
		cost := (processorTime() - processorBefore).Microseconds() / int64(n)
		name := "direct"
		if url == daemons {
			name = "daemons"
		}
		const milli = 1000.0
		fmt.Fprintf(&text, "%-7s  %6.3f  %6.3f  %d\n", name, float64(h.ValueAtQuantile(50))/milli, float64(h.ValueAtQuantile(99))/milli, cost)
	}
	return text.String(), nil
}
