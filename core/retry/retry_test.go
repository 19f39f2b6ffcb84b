package retry_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"anvilstand/core/model"
	"anvilstand/core/retry"
)

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// tree is a call and the calls that each run of it makes.
type tree struct {
	id    int
	below []*tree
}

func drawTree(t *rapid.T, depth int, n *int) *tree {
	c := &tree{id: *n}
	*n++
	if depth == 0 {
		return c
	}
	for range rapid.IntRange(0, 3).Draw(t, "calls") {
		c.below = append(c.below, drawTree(t, depth-1, n))
	}
	return c
}

// chain runs call trees whose every attempt fails or succeeds at random, after
// it ran or without, and whose answers may be lost.
type chain struct {
	t        *rapid.T
	attempts map[int]int
	retries  int
}

// call makes a call with a budget and reports success.
func (c *chain) call(w *tree, b *retry.Budget) bool {
	for {
		var part retry.Part
		b.Lend(&part)
		unspent, ok := c.attempt(w, part.Size())
		if !rapid.Bool().Draw(c.t, "lost") {
			b.Return(&part, unspent)
			b.Return(&part, unspent)
		}
		if ok || b.Take() != nil {
			return ok
		}
		c.retries++
	}
}

// attempt is one run at a target, which makes the calls below it.
func (c *chain) attempt(w *tree, budget int) (int, bool) {
	c.attempts[w.id]++
	own := retry.NewBudget(budget)
	ok := true
	for _, below := range w.below {
		var part retry.Part
		own.Lend(&part)
		child := retry.NewBudget(part.Size())
		ok = c.call(below, &child) && ok
		own.Return(&part, child.Left())
	}
	return own.Left(), ok && rapid.Bool().Draw(c.t, "works")
}

func TestAttemptsStayWithinTheRootsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := 0
		root := drawTree(t, rapid.IntRange(0, 4).Draw(t, "depth"), &n)
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		c := &chain{t: t, attempts: map[int]int{}}
		b := retry.NewBudget(budget)
		c.call(root, &b)
		for id, k := range c.attempts {
			if k > 1+budget {
				t.Fatalf("call %d was attempted %d times with a budget of %d", id, k, budget)
			}
		}
		if c.retries+b.Left() > budget {
			t.Fatalf("%d retries and %d left of a budget of %d", c.retries, b.Left(), budget)
		}
	})
}

func TestRatioBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r retry.Ratio
		orgs := []model.Org{"a", "b"}
		services := []model.Service{"x", "y"}
		fresh, retried := map[model.Org]int{}, map[model.Org]int{}
		bySrv, srvRetried := map[model.Service]int{}, map[model.Service]int{}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			o, s := rapid.SampledFrom(orgs).Draw(t, "org"), rapid.SampledFrom(services).Draw(t, "service")
			if rapid.Bool().Draw(t, "fresh") {
				r.Fresh(o, s)
				fresh[o]++
				bySrv[s]++
			} else if r.Retry(o, s) == nil {
				retried[o]++
				srvRetried[s]++
			}
		}
		for o, n := range retried {
			if float64(n) > 1+retry.Share*float64(fresh[o]) {
				t.Fatalf("%d retries of %s for %d fresh requests", n, o, fresh[o])
			}
		}
		for s, n := range srvRetried {
			if float64(n) > 1+retry.Share*float64(bySrv[s]) {
				t.Fatalf("%d retries at %s for %d fresh requests", n, s, bySrv[s])
			}
		}
	})
}

func TestRatioForgets(t *testing.T) {
	var r retry.Ratio
	r.Fresh("a", "x")
	if err := r.Retry("a", "x"); err != nil {
		t.Fatal(err)
	}
	if r.Retry("a", "x") == nil {
		t.Fatal("a second retry after one fresh request")
	}
	r.Keep(map[model.Org]bool{}, map[model.Service]bool{})
	if err := r.Retry("a", "x"); err != nil {
		t.Fatal(err)
	}
}

func TestReason(t *testing.T) {
	cases := map[string]struct {
		refusal    *model.Refusal
		idempotent bool
		want       string
	}{
		"shed":                         {refusal: model.Refuse(model.Shed{}, 0)},
		"shed, idempotent":             {refusal: model.Refuse(model.Shed{}, 0), idempotent: true},
		"unreached":                    {refusal: model.Refuse(model.NoTarget{}, 0), want: "unsent"},
		"broken":                       {refusal: model.Fail(model.Broken{})},
		"broken and idempotent":        {refusal: model.Fail(model.Broken{}), idempotent: true, want: "idempotent"},
		"late":                         {refusal: model.Refuse(model.Late{}, 0), idempotent: true},
		"caller gone":                  {refusal: model.Fail(model.Canceled{}), idempotent: true},
		"poison":                       {refusal: model.Refuse(model.Poison{}, 0), idempotent: true},
		"key withdrawn":                {refusal: model.Refuse(model.BadKey{}, 0), idempotent: true},
		"first answer is not known":    {refusal: model.Fail(model.Repeat{}), idempotent: true},
		"leaving daemon":               {refusal: model.Refuse(model.Leaving{}, 0), want: "refused"},
		"refusal that may have run":    {refusal: model.Fail(model.Shed{})},
		"queue full, idempotent route": {refusal: model.Refuse(model.QueueFull{}, 0), idempotent: true, want: "refused"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			why, ok := retry.Reason(tc.refusal, tc.idempotent)
			got := ""
			if ok {
				got = model.RetryName(why)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestWaits(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for n := range 100 {
		refusal := model.Refuse(model.Shed{}, time.Duration(n)*time.Millisecond)
		p := retry.Pause(rnd, n, refusal)
		if p < refusal.Wait() || p > 750*time.Millisecond {
			t.Errorf("pause %d is %s", n, p)
		}
	}
	if err := retry.Fits(100*time.Millisecond, 10*time.Millisecond); err != nil {
		t.Error(err)
	}
	if retry.Fits(10*time.Millisecond, 10*time.Millisecond) == nil {
		t.Error("a pause that ends at the deadline")
	}
	for _, r := range model.Reasons() {
		if wait := retry.Wait(model.Refuse(r, 7*time.Second)); wait != 7*time.Second {
			t.Errorf("%s loses its own wait: %s", model.ReasonName(r), wait)
		}
	}
}
