//go:build review

// Stand holds the stand-ins of the second review: the platform's store, the targets, and
// the clients, which play one case against daemons that a script has started. It exits
// with 0 if the rule held, 1 if it was broken, 2 if the case could not be played.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime bounds a case; a script may take 120 s.
const maxCaseTime = 100 * time.Second

// play plays a case and reports whether the rule was broken. An error means that the case
// could not be played.
type play func(ctx context.Context, r *rig) (broken bool, err error)

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name: its name, the folder of the process files,
// the path of the record, and the machines as NAME,IP,SERVICE,ZONE. The first machine
// argument is the IP of the store.
func run(args []string) int {
	const fixed = 4
	plays := map[string]play{
		"slowreader": playSlowReader,
		"latecall":   playLateCall,
		"crowd":      playCrowd,
		"drill":      playDrill,
		"burst":      playBurst,
	}
	if len(args) <= fixed || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER RECORD STOREIP MACHINE...")
		return exitNotRun
	}
	out, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	rec := newRecord(out)
	broken, err := playCase(plays[args[0]], args[1], args[3], args[fixed:], rec)
	switch {
	case err != nil:
		rec.note("not played: %v", err)
		return exitNotRun
	case broken:
		rec.note("verdict: the rule was broken")
		return exitBroken
	}
	rec.note("verdict: the rule held")
	return exitHeld
}

// playCase starts the stand-ins and plays a case.
func playCase(p play, folder, storeIP string, machines []string, rec *record) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	r := &rig{folder: folder, storeIP: storeIP, trouble: os.Getenv("TROUBLE") != "0", record: rec}
	for _, text := range machines {
		f := strings.Split(text, ",")
		if len(f) != 4 {
			return false, errors.Errorf("machine %q: want NAME,IP,SERVICE,ZONE", text)
		}
		r.machines = append(r.machines, machine{name: f[0], ip: f[1], service: f[2], zone: f[3]})
	}
	rec.note("trouble: %v", r.trouble)
	if err := r.startStore(ctx); err != nil {
		return false, err
	}
	defer r.stopStandIns()
	defer cancel() // ends the heartbeats
	return p(ctx, r)
}
