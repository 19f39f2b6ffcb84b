// Standin3 holds the stand-ins of the cases of the third review: the platform's store, the
// endpoints, the clients and the operator. It plays one case against daemons that case.sh
// starts, and says by its exit status whether the rule held: 0 if it did, 1 if it was
// broken, 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"
)

// outcome is whether the rule of a case held.
type outcome int

// Exit statuses.
const (
	held   outcome = 0
	broken outcome = 1
	cannot outcome = 2
)

// Bounds of a run.
const (
	maxTime  = 112 * time.Second
	argCount = 3
)

// play is one case on a fleet. It has the disruption unless trouble is false.
type play func(ctx context.Context, g *errgroup.Group, f *fleet, trouble bool) (outcome, error)

func main() { os.Exit(int(run())) }

func run() outcome {
	plays := map[string]play{"lost": playLost, "crash": playCrash, "gone": playGone, "slow": playSlow, "tenant": playTenant}
	if len(os.Args) < argCount || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE DIR; the record goes to standard output")
		return cannot
	}
	rec := &record{out: os.Stdout, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with the disruption: %v", os.Args[1], trouble)
	result, err := playCase(plays[os.Args[1]], rec, os.Args[2], trouble)
	if err != nil {
		rec.add("cannot run: %v", err)
		result = cannot
	}
	rec.add("outcome %d", result)
	return result
}

func playCase(p play, rec *record, dir string, trouble bool) (outcome, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return cannot, err
	}
	f, err := newFleet(dir, rec)
	if err != nil {
		return cannot, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	result, err := p(ctx, g, f, trouble)
	if ctx.Err() != nil && err == nil {
		err = context.Cause(ctx)
	}
	cancel()
	_ = g.Wait()
	return result, err
}
