package cells

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"anvilstand/proof/audit"
)

var (
	all   = flag.Bool("all", false, "run pairs of faults too, and more seeds")
	pairs = flag.Int("pairs", 120, "with -all, how many pairs of faults are sampled")
	seed  = flag.Uint64("seed", 1, "what the traffic and the pairs are drawn from")
)

// knownFailuresFile is the file of the tests that fail for a known, open bug.
const knownFailuresFile = "../../KNOWN-RED.txt"

// knownFailure is an entry of the file: a pattern of cells, and the name of the
// invariant that is known to be violated there.
type knownFailure struct{ pattern, promise string }

// readKnownFailures reads the entries of a test. A line is "TEST/CELLS | command |
// PROMISE: what was seen | issue", with CELLS a pattern of path.Match.
func readKnownFailures(t *testing.T, test string) []knownFailure {
	t.Helper()
	text, err := os.ReadFile(knownFailuresFile)
	if err != nil {
		t.Fatal(err)
	}
	var list []knownFailure
	for line := range strings.Lines(string(text)) {
		fields := strings.Split(line, "|")
		pattern, ok := strings.CutPrefix(strings.TrimSpace(fields[0]), test+"/")
		if !ok || len(fields) < 3 {
			continue
		}
		promise, _, _ := strings.Cut(strings.TrimSpace(fields[2]), ":")
		list = append(list, knownFailure{pattern: pattern, promise: promise})
	}
	return list
}

func isKnownFailure(list []knownFailure, cell, promise string) bool {
	return slices.ContainsFunc(list, func(k knownFailure) bool {
		match, err := path.Match(k.pattern, cell)
		return err == nil && match && k.promise == promise
	})
}

// resultTable holds the result of each cell by name: ok, red for a known
// failure, or no.
type resultTable struct {
	mu      sync.Mutex
	results map[string]string
}

func (r *resultTable) set(cell, result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[cell] = result
}

// log logs a row for each step and a column for each fault.
func (r *resultTable) log(t *testing.T) {
	counts := map[string]int{}
	for _, result := range r.results {
		counts[result]++
	}
	var text strings.Builder
	for _, step := range Steps() {
		fmt.Fprintf(&text, "\n%-10s", Name(step))
		for _, f := range Faults() {
			fmt.Fprintf(&text, " %-11s", Name(f)+"="+r.results[Name(step)+"/"+Name(f)])
		}
	}
	t.Logf("%d cells run: %d held, %d known red, %d broken%s", len(r.results), counts["ok"], counts["red"], counts["no"], text.String())
}

// samplePairs returns n cells with two faults each, drawn from the seed.
func samplePairs(n int, seed uint64) []Cell {
	rnd := rand.New(rand.NewPCG(seed, seed))
	steps, faults := Steps(), Faults()[1:]
	var list []Cell
	for range n {
		list = append(list, NewCell(steps[rnd.IntN(len(steps))], seed, faults[rnd.IntN(len(faults))], faults[rnd.IntN(len(faults))]))
	}
	return list
}

// subset returns the cells on every subsetStride-th diagonal of the matrix.
func subset(list []Cell) []Cell {
	var kept []Cell
	faults := len(Faults())
	for i, c := range list {
		if (i/faults+i%faults)%subsetStride == 0 {
			kept = append(kept, c)
		}
	}
	return kept
}

// TestMatrix runs every step with every fault (under the race detector a subset
// of the cells), and with -all also sampled pairs of faults.
func TestMatrix(t *testing.T) {
	list := subset(Cells(*seed))
	if *all {
		list = Cells(*seed)
		list = append(list, samplePairs(*pairs, *seed)...)
	}
	known := readKnownFailures(t, t.Name())
	results := &resultTable{results: map[string]string{}}
	t.Cleanup(func() { results.log(t) })
	for _, c := range list {
		t.Run(c.Name(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { results.set(c.Name(), runCell(t, c, known)) })
		})
	}
}

// runCell runs a cell, checks every invariant and returns the cell's result.
func runCell(t *testing.T, c Cell, known []knownFailure) string {
	t.Helper()
	h, err := Run(c)
	if err != nil {
		t.Error(err)
		return "no"
	}
	return checkPromises(t, h, c.Name(), known, audit.Promises())
}

// checkPromises checks invariants on a history and returns the cell's result. A
// violation that is known for the cell is logged and does not fail the test.
func checkPromises(t *testing.T, h *audit.History, cell string, known []knownFailure, promises []audit.Promise) string {
	t.Helper()
	result := "ok"
	for _, p := range promises {
		example := audit.Check(h, p)
		switch {
		case example == "":
		case isKnownFailure(known, cell, audit.PromiseName(p)):
			t.Logf("known red: %s: %s", audit.PromiseName(p), example)
			result = "red"
		default:
			t.Errorf("%s: %s", audit.PromiseName(p), example)
			result = "no"
		}
	}
	return result
}
