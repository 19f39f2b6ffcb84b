// Surge simulates overload in virtual time. It runs the admission controller and
// the load balancer of the daemons over a graph of simulated targets, and prints
// goodput, fairness and recovery beside those of a baseline without overload
// control.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	graphName := flag.String("graph", "pilha", "pilha, sanabil or chain")
	seed := flag.Uint64("seed", 1, "seed of the random numbers")
	table := flag.String("table", "all", "load, recovery, fair, parts or all")
	flag.Parse()
	g, ok := graphByName(*graphName)
	if !ok {
		fmt.Fprintln(os.Stderr, "no such graph:", *graphName)
		os.Exit(2)
	}
	fmt.Printf("%s, seed %d, capacity %.0f requests a second\n", *graphName, *seed, g.capacity())
	printers := map[string]func(graph, uint64){"load": printLoad, "recovery": printRecovery, "fair": printFair, "parts": printAblations}
	for _, name := range []string{"load", "recovery", "fair", "parts"} {
		if *table == name || *table == "all" {
			printers[name](g, *seed)
		}
	}
}
