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

// operatorKey is the key of the operator of the measured daemons.
const operatorKey = "slopes-operator"

// path measures a request through two daemons against a direct one.
func path(ctx context.Context, requests int) (string, error) {
	ctx, stop := context.WithCancel(ctx)
	var (
		store fake.Stand
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
		err = open(ctx, entry)
	}
	text := ""
	if err == nil {
		text, err = compare(target.URL+"/open", "http://"+entry.FrontAddress()+"/stock/open", requests)
	}
	stop()
	return text, errors.Join(err, g.Wait())
}

func startDaemon(ctx context.Context, g *errgroup.Group, s *fake.Stand, service, target string) (*daemon.Daemon, error) {
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

// open makes a route open to all and waits until it answers.
func open(ctx context.Context, d *daemon.Daemon) error {
	const text = "add service stock; add route stock GET /open idempotent open"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.OperAddress()+"/tell?op=open", strings.NewReader(text))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = w.Body.Close()
	for range 200 {
		if once(http.DefaultClient, "http://"+d.FrontAddress()+"/stock/open") == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the route did not open")
}

func once(caller *http.Client, url string) error {
	w, err := caller.Get(url)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if _, err := io.Copy(io.Discard, w.Body); err != nil {
		return err
	}
	if w.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", w.StatusCode)
	}
	return nil
}

// compare sends the same number of requests directly and through the daemons.
func compare(direct, through string, n int) (string, error) {
	var text strings.Builder
	text.WriteString("path     p50 ms  p99 ms  processor us a request\n")
	for _, way := range []string{direct, through} {
		h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		used := processor()
		for range n {
			began := time.Now()
			if err := once(http.DefaultClient, way); err != nil {
				return "", err
			}
			_ = h.RecordValue(time.Since(began).Microseconds())
		}
		cost := (processor() - used).Microseconds() / int64(n)
		name := "direct"
		if way == through {
			name = "daemons"
		}
		const milli = 1000.0
		fmt.Fprintf(&text, "%-7s  %6.3f  %6.3f  %d\n", name, float64(h.ValueAtQuantile(50))/milli, float64(h.ValueAtQuantile(99))/milli, cost)
	}
	return text.String(), nil
}
