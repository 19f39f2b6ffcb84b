// Package cells checks the invariants under faults: a small fleet of whole
// daemons runs over an in-memory network in virtual time, a fault is injected at
// a step of a protocol, and the invariants are checked on the history. A cell of
// the fault matrix is a step with its faults.
package cells

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/core/model"
	"anvilstand/proof/audit"
	"anvilstand/proof/memnet"
)

// Cell is a step with the faults that are injected at it: the first at the first
// write that matches the step, each other at the next match at least
// faultSpacing later. The seed draws the traffic.
type Cell struct {
	step   Step
	faults []Fault
	seed   uint64
}

// NewCell returns a cell of the fault matrix.
func NewCell(s Step, seed uint64, faults ...Fault) Cell {
	return Cell{step: s, faults: faults, seed: seed}
}

// Name returns the name of a step or a fault, such as Commit.
func Name(v any) string { return strings.TrimPrefix(fmt.Sprintf("%T", v), "cells.") }

// Name returns the name of the cell, such as Commit/Pause+Delay.
func (c Cell) Name() string {
	names := make([]string, 0, len(c.faults))
	for _, f := range c.faults {
		names = append(names, Name(f))
	}
	return Name(c.step) + "/" + strings.Join(names, "+")
}

// Cells returns the whole matrix: every step with every fault.
func Cells(seed uint64) []Cell {
	var all []Cell
	for _, s := range Steps() {
		for _, f := range Faults() {
			all = append(all, NewCell(s, seed, f))
		}
	}
	return all
}

// Ids of the operator's commands in each cell.
const (
	opSetup    = "setup"
	opWithdraw = "withdraw"
	opOut      = "out"
	opIn       = "in"
)

// evacuatedDomain is the failure domain that the operator takes out in each
// cell.
const evacuatedDomain = model.Domain("south")

// maxExecutions is how often a request may be executed: the first attempt and
// the retry budget.
const maxExecutions = 4

// plan returns the parameters of the checks.
func plan() audit.Plan {
	p := audit.Plan{}.WithRecovery(orgLoads[0].org, recoveryWindow).WithAttempts(maxExecutions).
		WithWithdrawnKey(withdrawnKey, opWithdraw).WithEvacuation(evacuatedDomain, opOut, opIn)
	for _, load := range orgLoads {
		p = p.WithLimit(load.org, load.rate, load.burst)
	}
	return p
}

// Times of a cell from its start, and its durations.
const (
	trafficStart    = 3 * time.Second
	faultStart      = 6 * time.Second
	commandStart    = faultStart + 500*time.Millisecond
	domainReturn    = 18 * time.Second
	cellDuration    = 26 * time.Second
	recoveryWindow  = 3 * time.Second
	observeInterval = 250 * time.Millisecond
	faultSpacing    = time.Second
)

// Run runs a cell in the synctest bubble that it is called in, and returns its
// history.
func Run(c Cell) (*audit.History, error) { return run(c, newFleet()) }

func run(c Cell, f *fleet) (*audit.History, error) {
	if err := f.start(); err != nil {
		return nil, err
	}
	h := f.history
	calm := !breaksConnections(c.step)
	for _, fault := range c.faults {
		calm = calm && keepsConnections(fault)
	}
	h.SetCalm(calm)
	ctx, cancel := context.WithTimeout(context.Background(), cellDuration)
	defer cancel()
	g := &errgroup.Group{}
	g.Go(func() error {
		f.observe(ctx)
		return nil
	})
	f.sendCommand(ctx, 0, opSetup, setupCommands())
	f.sleepUntil(trafficStart)
	g.Go(func() error {
		f.sendTraffic(ctx, c.seed)
		return nil
	})
	f.sleepUntil(faultStart)
	f.armFaults(c)
	f.trigger(c.step)
	f.runCommands(ctx, g)
	<-ctx.Done()
	h.Finish()
	_ = g.Wait()
	f.checkLeaks()
	f.close()
	return h, nil
}

// sleepUntil sleeps until a time of the history.
func (f *fleet) sleepUntil(t time.Duration) { time.Sleep(t - f.history.Now()) }

// armFaults makes the cell's faults be injected at its step.
func (f *fleet) armFaults(c Cell) {
	next, earliest := 0, time.Duration(0)
	f.addTap(func(w memnet.Write) memnet.Action {
		if next == len(c.faults) || f.history.Now() < earliest || !f.matches(c.step, w) {
			return nil
		}
		next, earliest = next+1, f.history.Now()+faultSpacing
		return f.inject(c.faults[next-1], w)
	})
}

// runCommands starts the operators' commands: a key is withdrawn, two commands
// race, and a failure domain is taken out and brought back.
func (f *fleet) runCommands(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error {
		f.sleepUntil(commandStart)
		f.sendCommand(ctx, 0, opWithdraw, "withdraw key "+withdrawnKey)
		f.raceCommands(ctx)
		f.sendCommand(ctx, 0, opOut, "out domain "+string(evacuatedDomain))
		f.sleepUntil(domainReturn)
		f.sendCommand(ctx, 0, opIn, "in domain "+string(evacuatedDomain))
		return nil
	})
}

// raceCommands lets two operators change the same value at once, through daemons
// of two failure domains.
func (f *fleet) raceCommands(ctx context.Context) {
	g := &errgroup.Group{}
	for i, op := range []string{"race1", "race2"} {
		g.Go(func() error {
			f.sendCommand(ctx, i*f.daemonsPerDomain, op, fmt.Sprintf("set org zeta rank %d", 5+i))
			return nil
		})
	}
	_ = g.Wait()
}

// observe adds the revision in force at every daemon to the history until ctx
// ends.
func (f *fleet) observe(ctx context.Context) {
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, n := range f.nodes {
				n.observe()
			}
		}
	}
}

// checkLeaks searches the logs, the metrics and the answers to queries for keys.
func (f *fleet) checkLeaks() {
	for _, key := range callerKeys {
		if f.logs.contains(key) {
			f.history.AddLeak("a log")
		}
	}
	for _, n := range f.nodes {
		for _, path := range []string{"/metrics", "/ask?q=orgs", "/ask?q=served", "/ask?q=targets", "/ask?q=services"} {
			f.searchKeys(n, path)
		}
	}
}

// searchKeys searches an answer of a daemon's operators' endpoint for keys.
func (f *fleet) searchKeys(n *node, path string) {
	text, err := f.query(n, path)
	if err != nil {
		return
	}
	for _, key := range callerKeys {
		if strings.Contains(text, key) {
			f.history.AddLeak(n.name() + " at " + path)
		}
	}
}

// query returns what the operators' endpoint of a daemon answers.
func (f *fleet) query(n *node, path string) (string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.operAddress()+path, http.NoBody)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := f.callers[n.domain].Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
