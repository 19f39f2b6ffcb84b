//go:build review

// Command stand holds the stand-ins of the review's cases (store, endpoints, clients)
// and starts the daemons as processes. It runs in the root of the repository.
//
//	stand CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases returns true if the rule was broken.
var cases = map[string]func(*fleet) (bool, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	f, err := newFleet(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.logf("trouble: %v", f.trouble)
	stopOnSignal(f)
	broken, err := cases[os.Args[1]](f)
	f.close()
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.logf("result: the rule was broken")
		return 1
	}
	rec.logf("result: the rule held")
	return 0
}

// stopOnSignal ends everything that the case started when this process is told to end.
func stopOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	background(func() {
		<-signals
		f.rec.logf("the case was stopped")
		f.close()
		os.Exit(2)
	})
}
