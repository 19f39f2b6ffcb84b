package main

import (
	"fmt"
	"slices"

	"anvilstand/core/admit"
	"anvilstand/core/route"
)

// printResult prints one row: the measures, then the number of refusals by reason. The
// printed words are even for cappedGoodput, inverted for inversions, and back for
// recovery.
func printResult(name string, r result) {
	recovery := fmt.Sprintf("%.2f s", r.recovery.Seconds())
	if r.recovery == never {
		recovery = "never"
	}
	fmt.Printf("%-26s goodput %.3f even %.3f wasted %.3f worst %.3f inverted %d back %s",
		name, r.goodput, r.cappedGoodput, r.wasted, r.worst, r.inversions, recovery)
	var reasons []string
	for reason := range r.reasons {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		fmt.Printf(" %s:%d", reason, r.reasons[reason])
	}
	fmt.Println()
}

// printLoad prints results at a steady demand, with and without control.
func printLoad(g graph, seed uint64) {
	for _, load := range []float64{1, 1.5, 3, 10} {
		sc := steadyLoad(load, seed)
		printResult(fmt.Sprintf("demand %gx", load), run(g, sc))
		printResult(fmt.Sprintf("demand %gx, baseline", load), run(g, sc.baseline()))
	}
}

// triggers returns the triggers for a graph, by name. "slow deep" slows the first
// service if it calls no other, otherwise the last one that calls no other.
func triggers(g graph) map[string]trigger {
	deepest := g.services[0].name
	for _, s := range g.services {
		if len(s.downstream) == 0 && deepest != s.name && len(g.services[0].downstream) > 0 {
			deepest = s.name
		}
	}
	return map[string]trigger{
		"surge":      surge{factor: 5},
		"slow deep":  slowService{service: deepest, factor: 5},
		"cold third": coldThird{},
		"domain out": domainOut{domain: "north"},
	}
}

// printRecovery prints how a graph recovers from each trigger, with and without
// control.
func printRecovery(g graph, seed uint64) {
	all := triggers(g)
	for _, name := range []string{"surge", "slow deep", "cold third", "domain out"} {
		sc := withTrigger(all[name], seed)
		printResult(name, run(g, sc))
		printResult(name+", baseline", run(g, sc.baseline()))
	}
}

// greedy returns a scenario in which the first organisation sends ten times its
// rate. Total is the sum of all rates in multiples of the capacity. If limited is
// set, each organisation has a rate limit 5 % above its rate.
func greedy(total float64, limited bool, seed uint64) scenario {
	sc := steadyLoad(1, seed)
	sc.load = 0
	for i := range sc.orgs {
		rate := sc.orgs[i].fraction * total
		sc.orgs[i].fraction = rate
		if i == 0 {
			sc.orgs[i].fraction = 10 * rate
		}
		if limited {
			sc.orgs[i].rate = rate * 1.05
		}
	}
	sc.load = 1
	return sc
}

// printFair prints results with one greedy organisation: with rates within the
// capacity, with rates above it, and without rate limits.
func printFair(g graph, seed uint64) {
	printResult("10x, capacity suffices", run(g, greedy(0.85, true, seed)))
	printResult("10x, scarce, shares", run(g, greedy(3, true, seed)))
	printResult("10x, scarce, no shares", run(g, greedy(1.5, false, seed)))
	printResult("10x, scarce, baseline", run(g, greedy(1.5, false, seed).baseline()))
}

// Features that printAblations switches off one at a time, by name.
var (
	admitFeatures = map[string]admit.Feature{
		"limit": admit.FeatureLimit, "floor": admit.FeatureUndoDecreases, "rank": admit.FeatureRank, "fair": admit.FeatureFairness,
		"newest": admit.FeatureNewestFirst, "late": admit.FeatureDeadline, "level": admit.FeatureLevel, "start": admit.FeatureSlowStart,
	}
	routeFeatures = map[string]route.Feature{
		"early": route.FeatureLevel, "load": route.FeatureLoad, "near": route.FeatureOwnDomain,
		"aside": route.FeatureEjection, "deep": route.FeatureNearestOfLeastLoaded,
	}
)

// printAblations prints results with all features on and with each one off. The row
// "two-step choice" is different: its bit switches a rule on, the nearest of the least
// loaded members in place of the power of two random choices.
func printAblations(g graph, seed uint64) {
	printAblation("all on", g, seed, admit.NoFeatures, route.NoFeatures)
	for _, name := range []string{"limit", "floor", "rank", "fair", "newest", "late", "level", "start"} {
		printAblation("without "+name, g, seed, admitFeatures[name], route.NoFeatures)
	}
	for _, name := range []string{"early", "load", "near", "aside"} {
		printAblation("without "+name, g, seed, admit.NoFeatures, routeFeatures[name])
	}
	printAblation("two-step choice", g, seed, admit.NoFeatures, routeFeatures["deep"])
}

// printAblation prints results for five kinds of trouble with some features off.
func printAblation(name string, g graph, seed uint64, admitOff admit.Feature, routeOff route.Feature) {
	scenarios := map[string]scenario{"3x": steadyLoad(3, seed), "greedy": greedy(1.5, false, seed)}
	for trouble, t := range triggers(g) {
		scenarios[trouble] = withTrigger(t, seed)
	}
	for _, trouble := range []string{"3x", "greedy", "slow deep", "cold third", "domain out"} {
		sc := scenarios[trouble]
		sc.admitOff, sc.routeOff = admitOff, routeOff
		printResult(name+", "+trouble, run(g, sc))
	}
}
