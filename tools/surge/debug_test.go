package main

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	g, _ := graphOf(os.Getenv("G"))
	p := recovery(triggers(g)[os.Getenv("T")], 1)
	w := newWorld(g, p)
	w.capacity = g.capacity()
	w.purses = make([]purse, len(p.orgs))
	for i := range p.orgs {
		w.arrivals(i, w.capacity)
	}
	w.after(p.begin, func() { w.start(p.trigger) })
	w.after(p.end, func() { w.stop(p.trigger) })
	for s := range 34 {
		w.sim.run(instant(time.Duration(s) * 500 * time.Millisecond))
		fmt.Printf("%4.1f good %.0f ", float64(s)/2, sum(w.tally.good, time.Duration(s-2)*500*time.Millisecond, time.Duration(s)*500*time.Millisecond))
		for _, n := range w.nodes {
			fmt.Printf("%s:%d/%d+%d,%d/%d,l%d ", string(n.member.Name()[:1])+string(n.member.Name()[len(n.member.Name())-1:]), n.gate.Running(), n.gate.Limit(), n.gate.Queued(), n.target.running, n.target.bears(), n.gate.Level())
		}
		fmt.Println()
	}
}
