//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// beatInterval is the time between two heartbeats of a target.
const beatInterval = 1500 * time.Millisecond

// target is a stand-in of one start of a target. It answers requests with work, and
// reports to the daemon beside it.
type target struct {
	rig      *rig
	machine  machine
	id       string
	born     int64
	work     http.HandlerFunc
	mu       sync.Mutex
	sequence uint64
	beating  bool
}

// startTarget starts the target of a machine, which reports that it is ready.
func (r *rig) startTarget(ctx context.Context, m machine, id string, work http.HandlerFunc) (*target, error) {
	t := &target{rig: r, machine: m, id: id, born: time.Now().UnixMilli(), work: work, beating: true}
	if err := r.serve(ctx, m.target(), t); err != nil {
		return nil, err
	}
	r.group.Go(func() error {
		for t.isBeating() && ctx.Err() == nil {
			_ = t.beat(ctx, t.nextBeat("ready")) // the daemon may be away
			_ = sleep(ctx, beatInterval)
		}
		return nil
	})
	return t, nil
}

func (t *target) isBeating() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.beating
}

// stopBeating ends the heartbeats.
func (t *target) stopBeating() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beating = false
}

// nextBeat returns the body of the next heartbeat.
func (t *target) nextBeat(state string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	type object = map[string]any
	data, _ := json.Marshal(object{
		"born": t.born, "address": t.machine.target(),
		"info":   object{"service": t.machine.service, "version": "v1", "zone": t.machine.zone, "slots": 100},
		"status": object{"state": state, "sequence": t.sequence, "warmupLeft": "0ms"},
	})
	return data
}

// beat sends a heartbeat. The error means that it was not confirmed.
func (t *target) beat(ctx context.Context, body []byte) error {
	return t.report(ctx, "heartbeat", body)
}

// deregister reports that the target leaves.
func (t *target) deregister(ctx context.Context) error {
	body, err := json.Marshal(map[string]any{"born": t.born})
	if err != nil {
		return err
	}
	return t.report(ctx, "deregister", body)
}

func (t *target) report(ctx context.Context, what string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	address := "http://" + t.machine.control() + "/api/instances/" + t.id + "/" + what
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", what, resp.StatusCode)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", t.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.rig.record.note("run      %s at %s (%s)", r.Header.Get("X-Attempt-Id"), t.machine.name, t.id)
	t.work(w, r)
}

// answer sends a whole answer of n bytes.
func answer(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Length", strconv.Itoa(n))
	w.Header().Set("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = w.Write(bytes.Repeat([]byte("a"), n))
}
