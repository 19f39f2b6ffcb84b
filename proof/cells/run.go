// Package cells proves the promises under faults: a small fleet of whole
// daemons runs over a network in memory and in virtual time, a fault is placed
// at a step of a protocol, and what happened is checked as a history.
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
	"anvilstand/proof/cable"
)

// Cell is a step with the faults that are placed at it, the first at the step
// and each other at the next write that is the step, a second later.
type Cell struct {
	step   Step
	faults []Fault
	seed   uint64
}

// NewCell returns a cell.
func NewCell(s Step, seed uint64, faults ...Fault) Cell {
	return Cell{step: s, faults: faults, seed: seed}
}

// Name returns the name of a step or a fault.
func Name(v any) string { return strings.TrimPrefix(fmt.Sprintf("%T", v), "cells.") }

// Name returns the name of the cell.
func (c Cell) Name() string {
	names := make([]string, 0, len(c.faults))
	for _, f := range c.faults {
		names = append(names, Name(f))
	}
	return Name(c.step) + "/" + strings.Join(names, "+")
}

// Cells returns every step with every fault.
func Cells(seed uint64) []Cell {
	var all []Cell
	for _, s := range Steps() {
		for _, f := range Faults() {
			all = append(all, NewCell(s, seed, f))
		}
	}
	return all
}

// Operations of the operator in each cell.
const (
	opSetup    = "setup"
	opWithdraw = "withdraw"
	opOut      = "out"
	opIn       = "in"
)

// outDomain is the failure domain that each cell takes out.
const outDomain = model.Domain("south")

// attempts is the retry budget of the fleet and the first attempt.
const attempts = 4

func plan() audit.Plan {
	p := audit.Plan{}.WithMain(tenants[0].org, finale).WithAttempts(attempts).
		WithWithdrawn(withdrawn, opWithdraw).WithOut(outDomain, opOut, opIn)
	for _, t := range tenants {
		p = p.WithLimit(t.org, t.rate, t.burst)
	}
	return p
}

// Times of a cell, from its start.
const (
	settled  = 3 * time.Second
	provoked = 6 * time.Second
	changed  = provoked + 500*time.Millisecond
	returned = 18 * time.Second
	ends     = 26 * time.Second
	finale   = 3 * time.Second
	looks    = 250 * time.Millisecond
	second   = time.Second
)

// Run runs a cell in the synctest bubble that it is called in, and returns its
// history.
func Run(c Cell) (*audit.History, error) { return run(c, newFleet()) }

func run(c Cell, f *fleet) (*audit.History, error) {
	if err := f.start(); err != nil {
		return nil, err
	}
	h := f.history
	quiet := !disturbs(c.step)
	for _, fault := range c.faults {
		quiet = quiet && calm(fault)
	}
	h.SetCalm(quiet)
	ctx, cancel := context.WithTimeout(context.Background(), ends)
	defer cancel()
	g := &errgroup.Group{}
	g.Go(func() error {
		f.look(ctx)
		return nil
	})
	f.tell(ctx, 0, opSetup, setup())
	f.until(settled)
	g.Go(func() error {
		f.traffic(ctx, c.seed)
		return nil
	})
	f.until(provoked)
	f.arm(c)
	f.provoke(c.step)
	f.change(ctx, g)
	<-ctx.Done()
	h.Finish()
	_ = g.Wait()
	f.inspect()
	f.close()
	return h, nil
}

func (f *fleet) until(t time.Duration) { time.Sleep(t - f.history.Now()) }

// arm places the cell's faults at its step.
func (f *fleet) arm(c Cell) {
	next, not := 0, time.Duration(0)
	f.then(func(w cable.Write) cable.Action {
		if next == len(c.faults) || f.history.Now() < not || !f.step(c.step, w) {
			return nil
		}
		next, not = next+1, f.history.Now()+second
		return f.strike(c.faults[next-1], w)
	})
}

// change withdraws a key, takes a failure domain out and brings it back.
func (f *fleet) change(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error {
		f.until(changed)
		f.tell(ctx, 0, opWithdraw, "withdraw key "+withdrawn)
		f.race(ctx)
		f.tell(ctx, 0, opOut, "out domain "+string(outDomain))
		f.until(returned)
		f.tell(ctx, 0, opIn, "in domain "+string(outDomain))
		return nil
	})
}

// race lets two operators change the same thing at once, through daemons of two
// failure domains.
func (f *fleet) race(ctx context.Context) {
	g := &errgroup.Group{}
	for i, op := range []string{"race1", "race2"} {
		g.Go(func() error {
			f.tell(ctx, i*f.wide, op, fmt.Sprintf("set org zeta rank %d", 5+i))
			return nil
		})
	}
	_ = g.Wait()
}

// look notes what every daemon holds until ctx ends.
func (f *fleet) look(ctx context.Context) {
	t := time.NewTicker(looks)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, n := range f.nodes {
				n.look()
			}
		}
	}
}

// inspect looks for keys in the logs, the metrics and the answers to queries.
func (f *fleet) inspect() {
	for _, key := range keys {
		if f.log.contains(key) {
			f.history.Leak("a log")
		}
	}
	for _, n := range f.nodes {
		for _, path := range []string{"/metrics", "/ask?q=orgs", "/ask?q=served", "/ask?q=targets", "/ask?q=services"} {
			f.search(n, path)
		}
	}
}

// search looks for keys in what the operators' endpoint of a daemon answers.
func (f *fleet) search(n *node, path string) {
	text, err := f.emitted(n, path)
	if err != nil {
		return
	}
	for _, key := range keys {
		if strings.Contains(text, key) {
			f.history.Leak(n.name() + " at " + path)
		}
	}
}

func (f *fleet) emitted(n *node, path string) (string, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.oper()+path, http.NoBody)
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	w, err := f.callers[n.n].Do(r)
	if err != nil {
		return "", err
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	return string(text), err
}
