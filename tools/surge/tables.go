package main

import (
	"fmt"
	"slices"

	"anvilstand/core/admit"
	"anvilstand/core/route"
)

func printResult(name string, r result) {
	back := fmt.Sprintf("%.2f s", r.recovery.Seconds())
	if r.recovery == never {
		back = "never"
	}
	fmt.Printf("%-26s goodput %.3f even %.3f wasted %.3f worst %.3f inverted %d back %s",
		name, r.goodput, r.even, r.wasted, r.worst, r.inverted, back)
	var names []string
	for n := range r.reasons {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Printf(" %s:%d", n, r.reasons[n])
	}
	fmt.Println()
}

func printLoad(g graph, seed uint64) {
	for _, load := range []float64{1, 1.5, 3, 10} {
		p := overload(load, seed)
		printResult(fmt.Sprintf("demand %gx", load), run(g, p))
		printResult(fmt.Sprintf("demand %gx, baseline", load), run(g, p.baseline()))
	}
}

// triggers returns the triggers for a graph, by name.
func triggers(g graph) map[string]trigger {
	deepest := g.services[0].name
	for _, s := range g.services {
		if len(s.calls) == 0 && deepest != s.name && len(g.services[0].calls) > 0 {
			deepest = s.name
		}
	}
	return map[string]trigger{
		"surge":      surge{times: 5},
		"slow deep":  slowDeep{service: deepest, times: 5},
		"cold third": coldThird{},
		"domain out": domainOut{domain: "north"},
	}
}

func printRecovery(g graph, seed uint64) {
	all := triggers(g)
	for _, name := range []string{"surge", "slow deep", "cold third", "domain out"} {
		p := recovery(all[name], seed)
		printResult(name, run(g, p))
		printResult(name+", baseline", run(g, p.baseline()))
	}
}

// greedy returns a plan in which the first organisation sends ten times its
// rate. Rates are in multiples of the capacity; with shares they bound what
// enters.
func greedy(rates float64, shares bool, seed uint64) plan {
	p := overload(1, seed)
	p.load = 0
	for i := range p.orgs {
		rate := p.orgs[i].part * rates
		p.orgs[i].part = rate
		if i == 0 {
			p.orgs[i].part = 10 * rate
		}
		if shares {
			p.orgs[i].rate = rate * 1.05
		}
	}
	p.load = 1
	return p
}

func printFair(g graph, seed uint64) {
	printResult("10x, capacity suffices", run(g, greedy(0.85, true, seed)))
	printResult("10x, scarce, shares", run(g, greedy(3, true, seed)))
	printResult("10x, scarce, no shares", run(g, greedy(1.5, false, seed)))
	printResult("10x, scarce, baseline", run(g, greedy(1.5, false, seed).baseline()))
}

// Names of the parts that are measured alone.
var (
	gateParts = map[string]admit.Feature{
		"limit": admit.FeatureLimit, "floor": admit.FeatureUndoCuts, "rank": admit.FeatureRank, "fair": admit.FeatureFairness,
		"newest": admit.FeatureNewestFirst, "late": admit.FeatureDeadline, "level": admit.FeatureLevel, "start": admit.FeatureColdStart,
	}
	tableParts = map[string]route.Feature{
		"early": route.FeatureLevel, "load": route.FeatureLoad, "near": route.FeatureOwnDomain,
		"aside": route.FeatureEjection, "deep": route.FeatureNearestOfLeastLoaded,
	}
)

func printParts(g graph, seed uint64) {
	printPart("all on", g, seed, admit.NoFeatures, route.NoFeatures)
	for _, name := range []string{"limit", "floor", "rank", "fair", "newest", "late", "level", "start"} {
		printPart("without "+name, g, seed, gateParts[name], route.NoFeatures)
	}
	for _, name := range []string{"early", "load", "near", "aside"} {
		printPart("without "+name, g, seed, admit.NoFeatures, tableParts[name])
	}
	printPart("two-step choice", g, seed, admit.NoFeatures, tableParts["deep"])
}

func printPart(name string, g graph, seed uint64, off admit.Feature, lacks route.Feature) {
	plans := map[string]plan{"3x": overload(3, seed), "greedy": greedy(1.5, false, seed)}
	for what, t := range triggers(g) {
		plans[what] = recovery(t, seed)
	}
	for _, what := range []string{"3x", "greedy", "slow deep", "cold third", "domain out"} {
		p := plans[what]
		p.gate, p.table = off, lacks
		printResult(name+", "+what, run(g, p))
	}
}
