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

// TestMain fixes the seed of the property tests, so that runs are repeatable.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// callNode is a call, with the calls that the called service makes to answer it.
type callNode struct {
	id       int
	children []*callNode
}

// drawTree draws a call tree at random and numbers its nodes from *count.
func drawTree(t *rapid.T, depth int, count *int) *callNode {
	c := &callNode{id: *count}
	*count++
	if depth == 0 {
		return c
	}
	for range rapid.IntRange(0, 3).Draw(t, "calls") {
		c.children = append(c.children, drawTree(t, depth-1, count))
	}
	return c
}

// chainRun runs call trees in which attempts fail and answers are lost at random,
// and counts attempts and retries.
type chainRun struct {
	t        *rapid.T
	attempts map[int]int
	retries  int
}

// call makes a call, with retries within a budget, and reports whether it succeeded.
// It returns each portion twice, which must count once.
func (c *chainRun) call(node *callNode, b *retry.Budget) bool {
	for {
		var portion retry.Portion
		b.Split(&portion)
		unspent, ok := c.attempt(node, portion.Size())
		if !rapid.Bool().Draw(c.t, "lost") {
			b.Return(&portion, unspent)
			b.Return(&portion, unspent)
		}
		if ok || b.Take() != nil {
			return ok
		}
		c.retries++
	}
}

// attempt makes one attempt of a call, with its child calls. It returns the unspent
// retries and whether it succeeded.
func (c *chainRun) attempt(node *callNode, budget int) (int, bool) {
	c.attempts[node.id]++
	own := retry.NewBudget(budget)
	ok := true
	for _, next := range node.children {
		var portion retry.Portion
		own.Split(&portion)
		child := retry.NewBudget(portion.Size())
		ok = c.call(next, &child) && ok
		own.Return(&portion, child.Left())
	}
	return own.Left(), ok && rapid.Bool().Draw(c.t, "works")
}

// However attempts fail along a call chain, no call may be attempted more often
// than the budget at the root allows.
func TestAttemptsWithinRootBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := 0
		root := drawTree(t, rapid.IntRange(0, 4).Draw(t, "depth"), &n)
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		c := &chainRun{t: t, attempts: map[int]int{}}
		b := retry.NewBudget(budget)
		c.call(root, &b)
		for id, k := range c.attempts {
			if k > 1+budget {
				t.Fatalf("call %d: %d attempts with a retry budget of %d", id, k, budget)
			}
		}
		if c.retries+b.Left() > budget {
			t.Fatalf("%d retries made and %d left of a retry budget of %d", c.retries, b.Left(), budget)
		}
	})
}

// However requests and retries alternate, no organisation and no service may make more
// retries than the throttle allows for its requests.
func TestThrottleBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var throttle retry.Throttle
		orgs := []model.Org{"a", "b"}
		services := []model.Service{"x", "y"}
		orgRequests, orgRetries := map[model.Org]int{}, map[model.Org]int{}
		serviceRequests, serviceRetries := map[model.Service]int{}, map[model.Service]int{}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			o, s := rapid.SampledFrom(orgs).Draw(t, "org"), rapid.SampledFrom(services).Draw(t, "service")
			if rapid.Bool().Draw(t, "fresh") {
				throttle.AddRequest(o, s)
				orgRequests[o]++
				serviceRequests[s]++
			} else if throttle.Take(o, s) == nil {
				orgRetries[o]++
				serviceRetries[s]++
			}
		}
		for o, n := range orgRetries {
			if float64(n) > 1+retry.TokenRatio*float64(orgRequests[o]) {
				t.Fatalf("%d retries of organisation %s for %d requests", n, o, orgRequests[o])
			}
		}
		for s, n := range serviceRetries {
			if float64(n) > 1+retry.TokenRatio*float64(serviceRequests[s]) {
				t.Fatalf("%d retries at service %s for %d requests", n, s, serviceRequests[s])
			}
		}
	})
}

func TestThrottleRetainDeletesBuckets(t *testing.T) {
	var throttle retry.Throttle
	throttle.AddRequest("a", "x")
	if err := throttle.Take("a", "x"); err != nil {
		t.Fatal(err)
	}
	if throttle.Take("a", "x") == nil {
		t.Fatal("second retry allowed after one request")
	}
	throttle.Retain(map[model.Org]bool{}, map[model.Service]bool{})
	if err := throttle.Take("a", "x"); err != nil {
		t.Fatal(err)
	}
}

func TestAllowed(t *testing.T) {
	cases := map[string]struct {
		refusal    *model.Refusal
		idempotent bool
		want       string
	}{
		"shed":                   {refusal: model.Refuse(model.Shed{}, 0)},
		"shed, idempotent":       {refusal: model.Refuse(model.Shed{}, 0), idempotent: true},
		"no target reached":      {refusal: model.Refuse(model.NoTarget{}, 0), want: "unsent"},
		"broken":                 {refusal: model.Fail(model.Broken{})},
		"broken and idempotent":  {refusal: model.Fail(model.Broken{}), idempotent: true, want: "idempotent"},
		"late":                   {refusal: model.Refuse(model.Late{}, 0), idempotent: true},
		"canceled by the caller": {refusal: model.Fail(model.Canceled{}), idempotent: true},
		"poison request":         {refusal: model.Refuse(model.Poison{}, 0), idempotent: true},
		"key withdrawn":          {refusal: model.Refuse(model.BadKey{}, 0), idempotent: true},
		"repeat of a request whose answer is unknown": {refusal: model.Fail(model.Repeat{}), idempotent: true},
		"leaving daemon":               {refusal: model.Refuse(model.Leaving{}, 0), want: "refused"},
		"refusal that may have run":    {refusal: model.Fail(model.Shed{})},
		"queue full, idempotent route": {refusal: model.Refuse(model.QueueFull{}, 0), idempotent: true, want: "refused"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			reason, ok := retry.Allowed(tc.refusal, tc.idempotent)
			got := ""
			if ok {
				got = model.RetryReasonName(reason)
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
		backoff := retry.Backoff(rnd, n, refusal)
		if backoff < refusal.Wait() || backoff > 750*time.Millisecond {
			t.Errorf("backoff %d is %s, want at least that of the refusal and at most 750ms", n, backoff)
		}
	}
	if err := retry.CheckDeadline(100*time.Millisecond, 10*time.Millisecond); err != nil {
		t.Error(err)
	}
	if retry.CheckDeadline(10*time.Millisecond, 10*time.Millisecond) == nil {
		t.Error("backoff of 10 ms accepted with 10 ms until the deadline")
	}
	for _, r := range model.Reasons() {
		if wait := retry.RetryAfter(model.Refuse(r, 7*time.Second)); wait != 7*time.Second {
			t.Errorf("%s: wait %s, want the 7s of the refusal", model.ReasonName(r), wait)
		}
	}
}
