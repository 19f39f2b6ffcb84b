package main

import (
	"fmt"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	g, _ := graphOf("pilha")
	p := overload(1.5, 1)
	w := newWorld(g, p)
	w.capacity = g.capacity()
	w.nodes[2].gate.Dbg()
	w.purses = make([]purse, len(p.orgs))
	for i := range p.orgs {
		w.arrivals(i, w.capacity)
	}
	for s := range 24 {
		w.sim.run(instant(time.Duration(s) * 500 * time.Millisecond))
		fmt.Printf("%4.1f ", float64(s)/2)
		for _, n := range w.nodes {
			fmt.Printf("%s:%d/%d+%d,%d,l%d ", n.member.Name()[:3]+n.member.Name()[len(n.member.Name())-1:], n.gate.Running(), n.gate.Limit(), n.gate.Queued(), n.target.running, n.gate.Level())
		}
		fmt.Println()
	}
}
