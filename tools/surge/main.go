// Surge drives the real decisions of admission and routing over a graph of fake
// targets in virtual time and prints what they reach, beside a baseline without
// control.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	name := flag.String("graph", "pilha", "pilha, sanabil or chain")
	seed := flag.Uint64("seed", 1, "seed of the random numbers")
	what := flag.String("table", "all", "load, recovery, fair, parts or all")
	flag.Parse()
	g, ok := graphOf(*name)
	if !ok {
		fmt.Fprintln(os.Stderr, "no such graph:", *name)
		os.Exit(2)
	}
	fmt.Printf("%s, seed %d, capacity %.0f requests a second\n", *name, *seed, g.capacity())
	tables := map[string]func(graph, uint64){"load": printLoad, "recovery": printRecovery, "fair": printFair, "parts": printParts}
	for _, t := range []string{"load", "recovery", "fair", "parts"} {
		if *what == t || *what == "all" {
			tables[t](g, *seed)
		}
	}
}
