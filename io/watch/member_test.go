package watch_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/ctrl"
	"anvilstand/io/fake"
	"anvilstand/io/watch"
)

// settled starts a fleet and waits until each daemon knows it.
func settled(t *testing.T, c *cluster, n int) {
	t.Helper()
	c.startAll(n)
	if took, ok := await(c.all(), startup, hasMembers(n)); ok != n {
		t.Fatalf("%d of %d know the fleet after %v", ok, n, took)
	}
	time.Sleep(5 * time.Second)
}

func everywhere(*node) bool { return true }

func has(m fleet.Member) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return slices.Contains(v.Members(), m) }
}

func lacks(m fleet.Member) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return !slices.Contains(v.Members(), m) }
}

func routes(m fleet.Member) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return slices.Contains(v.Serving(m.Service()), m) }
}

func skips(m fleet.Member) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return !routes(m)(v) }
}

func TestMembers(t *testing.T) {
	const n = 24
	cases := map[string]struct {
		do     func(*cluster, *node)
		within time.Duration
		want   func(fleet.Member) func(*ctrl.View) bool
		for10  bool
	}{
		"a leaving daemon gets no new work": {
			do: func(_ *cluster, n *node) { n.loop.Post(ctrl.Depart{}) }, within: 3 * time.Second, want: skips,
		},
		"a crashed daemon leaves the record": {
			do: func(_ *cluster, n *node) { n.crash() }, within: 10 * time.Second, want: lacks,
		},
		"a silent daemon leaves the record": {
			do: func(_ *cluster, n *node) { n.pause() }, within: 30 * time.Second, want: lacks,
		},
		"a daemon that pauses shortly stays": {
			do: func(_ *cluster, n *node) { n.pause(); time.Sleep(5 * time.Second); n.resume() }, want: routes, for10: true,
		},
		"a silent daemon stays while the store is away": {
			do: func(c *cluster, n *node) { c.set(fault{away: everywhere}); n.pause() }, want: routes, for10: true,
		},
		"a crashed daemon gets no work while the store is away": {
			do: func(c *cluster, n *node) { c.set(fault{away: everywhere}); n.crash() }, within: 10 * time.Second, want: skips,
		},
		"a daemon taken out by mistake returns": {
			do: func(_ *cluster, n *node) { n.pause(); time.Sleep(time.Minute); n.resume() }, within: 10 * time.Second, want: routes,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 2)
				defer c.close(t)
				settled(t, c, n)
				subject := c.all()[4]
				others := slices.DeleteFunc(c.all(), func(o *node) bool { return o == subject })
				tc.do(c, subject)
				if tc.for10 {
					time.Sleep(time.Minute)
				}
				took, ok := await(others, tc.within+time.Millisecond, tc.want(subject.member))
				if ok != len(others) {
					t.Errorf("%d of %d agree after %v", ok, len(others), took)
				}
				t.Logf("all agree after %v", took)
			})
		})
	}
}

// TestDoubledName starts a second daemon under a name that is taken. Both are
// recorded and reported, and both take part.
func TestDoubledName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 3)
		defer c.close(t)
		settled(t, c, 12)
		first := c.all()[4]
		second := c.start(4, 5004+1)
		if took, ok := await(c.all(), 20*time.Second, hasMembers(13)); ok != 13 {
			t.Fatalf("%d of 13 see both after %v", ok, took)
		}
		time.Sleep(30 * time.Second)
		for _, n := range c.all() {
			v := n.loop.View()
			if !has(first.member)(v) || !has(second.member)(v) {
				t.Errorf("%s does not see both", n.member.Name())
			}
			if diff := cmp.Diff([]model.Instance{first.member.Name()}, v.Doubled()); diff != "" {
				t.Error(diff)
			}
		}
		c.commit(t, first, 1, "add org o rate 1 burst 1")
		if took, ok := await(c.all(), inForce, hasRevision(1)); ok != 13 {
			t.Errorf("in force at %d of 13 after %v", ok, took)
		}
	})
}

// TestStoreAwayAtStart starts a daemon while the store is away. It learns the
// newest configuration and the fleet from a seed of another failure domain.
func TestStoreAwayAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 4)
		defer c.close(t)
		settled(t, c, 12)
		for rev := model.Revision(1); rev <= 3; rev++ {
			c.commit(t, c.all()[0], rev, fmt.Sprintf("add org o%d rate 1 burst 1", rev))
		}
		await(c.all(), inForce, hasRevision(3))
		c.set(fault{away: everywhere})
		seed := c.all()[1].member.Address()
		for _, i := range []int{0, 3} {
			old := c.all()[i]
			old.crash()
			n := c.start(i, old.member.Incarnation()+500, seed)
			took, ok := await([]*node{n}, inForce, func(v *ctrl.View) bool { return hasRevision(3)(v) && len(v.Members()) >= 12 })
			if ok != 1 {
				t.Fatalf("revision %d and %d members after %v", n.loop.View().Config().Revision(), len(n.loop.View().Members()), took)
			}
			t.Logf("learned after %v", took)
		}
	})
}

// TestRestart restarts most daemons at once and counts the calls of the store.
func TestRestart(t *testing.T) {
	for _, n := range []int{12, 60, *size} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 5)
				defer c.close(t)
				settled(t, c, n)
				r0, w0 := c.store.Calls()
				const steady = 30 * time.Second
				before := c.traffic()
				time.Sleep(steady)
				r1, w1 := c.store.Calls()
				logTraffic(t, before, c.traffic(), steady)
				t.Logf("%d daemons, steady: %.2f reads/s, %.2f writes/s", n, float64(r1-r0)/steady.Seconds(), float64(w1-w0)/steady.Seconds())
				restarted := c.all()[:n*3/4]
				for _, old := range restarted {
					old.crash()
				}
				for i := range restarted {
					c.start(i, model.Incarnation(5000+i))
				}
				reads, writes, took := peaks(c, func() bool { return allKnow(c, n) })
				t.Logf("restart of %d: known after %v, at most %d reads and %d writes in a second", len(restarted), took, reads, writes)
				if reads > 1000 || writes > 200 {
					t.Error("the budget of the store is exceeded")
				}
				if !allKnow(c, n) {
					t.Error("the fleet is not known again")
				}
			})
		})
	}
}

// logTraffic logs what a daemon sends and takes in a second, on average and the
// busiest one.
func logTraffic(t *testing.T, before, after map[*node]traffic, lasts time.Duration) {
	t.Helper()
	var sum, most traffic
	for n, a := range after {
		messages, bytes := a.messages-before[n].messages, a.bytes-before[n].bytes
		sum.messages += messages
		sum.bytes += bytes
		most = traffic{max(most.messages, messages), max(most.bytes, bytes)}
	}
	each := lasts.Seconds() * float64(len(after))
	t.Logf("a daemon sends and takes %.1f messages/s of %.0f bytes/s, the busiest %.1f and %.0f",
		float64(sum.messages)/each, float64(sum.bytes)/each,
		float64(most.messages)/lasts.Seconds(), float64(most.bytes)/lasts.Seconds())
}

func allKnow(c *cluster, n int) bool {
	for _, one := range c.all() {
		members := one.loop.View().Members()
		if len(members) != n || slices.ContainsFunc(members, func(m fleet.Member) bool { return c.node(m) == nil }) {
			return false
		}
	}
	return true
}

func (c *cluster) node(m fleet.Member) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[m.Address()]
	if n == nil || n.member != m {
		return nil
	}
	return n
}

// peaks returns the most calls in a second until a condition holds.
func peaks(c *cluster, ok func() bool) (reads, writes uint64, took time.Duration) {
	begin := time.Now()
	for !ok() && time.Since(begin) < 2*time.Minute {
		r0, w0 := c.store.Calls()
		time.Sleep(time.Second)
		r1, w1 := c.store.Calls()
		reads, writes = max(reads, r1-r0), max(writes, w1-w0)
	}
	return reads, writes, time.Since(begin)
}

// TestBase commits many changes. A daemon that starts then reads the base and
// the tail, not the whole line.
func TestBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 6)
		defer c.close(t)
		settled(t, c, 3)
		const last = 2*watch.RevisionsPerSnapshot + 40
		for rev := model.Revision(1); rev <= last; rev++ {
			c.commit(t, c.all()[0], rev, fmt.Sprintf("add org o%d rate 1 burst 1", rev))
			await(c.all(), inForce, hasRevision(rev))
			if rev%watch.RevisionsPerSnapshot == 0 {
				time.Sleep(10 * time.Second)
			}
		}
		for _, n := range c.all() {
			n.crash()
		}
		before, _ := c.store.Calls()
		n := c.start(0, 9000)
		took, ok := await([]*node{n}, startup, hasRevision(last))
		after, _ := c.store.Calls()
		if ok != 1 {
			t.Fatalf("revision %d after %v", n.loop.View().Config().Revision(), took)
		}
		t.Logf("revision %d after %v and %d reads", last, took, after-before)
		if after-before > 2*watch.RevisionsPerSnapshot {
			t.Errorf("%d reads", after-before)
		}
		at, err := watch.At(c.ctx, n, 100)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(100, len(at.Orgs())); diff != "" {
			t.Error(diff)
		}
	})
}

// TestBadValues puts values into the store that must not come into force.
func TestBadValues(t *testing.T) {
	cases := map[string]struct {
		key   string
		value string
	}{
		"configuration":    {key: watch.EntryKey(2), value: "\xff\xff nonsense"},
		"members":          {key: watch.MemberListKey("south"), value: "nonsense"},
		"list of domains":  {key: "domains", value: "nonsense"},
		"pointer to bases": {key: "base", value: "nonsense"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 7)
				defer c.close(t)
				settled(t, c, 12)
				c.commit(t, c.all()[0], 1, "add org first rate 1 burst 1")
				await(c.all(), inForce, hasRevision(1))
				item, _ := c.store.Get(c.ctx, tc.key)
				if _, err := c.store.Swap(c.ctx, tc.key, item.Version(), []byte(tc.value), 0); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				checkKept(t, c)
				c.commit(t, c.all()[0], 2, "add org second rate 1 burst 1")
				if took, ok := await(c.all(), inForce, hasRevision(2)); ok != 12 {
					t.Errorf("the next change is in force at %d of 12 after %v", ok, took)
				}
			})
		})
	}
}

// checkKept checks that the last good values stay.
func checkKept(t *testing.T, c *cluster) {
	t.Helper()
	for _, n := range c.all() {
		v := n.loop.View()
		if diff := cmp.Diff([]model.Org{"first"}, v.Config().Orgs()); diff != "" {
			t.Error(diff)
		}
		if len(v.Members()) != 12 {
			t.Errorf("%d members", len(v.Members()))
		}
	}
}

// TestIsolated cuts a failure domain off and looks at who is to be refused.
func TestIsolated(t *testing.T) {
	const limit = 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 8)
		defer c.close(t)
		settled(t, c, 12)
		c.commit(t, c.all()[0], 1, "add org kept rate 1 burst 1; add org denied rate 1 burst 1 isolated deny")
		await(c.all(), inForce, hasRevision(1))
		steps := map[string]struct {
			fault fault
			wait  time.Duration
			north bool
		}{
			"1 connected":                      {wait: time.Minute},
			"2 store away for all":             {fault: fault{away: everywhere}, wait: time.Minute},
			"3 domain cut off from the others": {fault: fault{cut: acrossNorth}, wait: time.Minute},
			"4 cut off from all, short":        {fault: fault{cut: acrossNorth, away: inNorth}, wait: 20 * time.Second},
			"5 cut off from all, long":         {fault: fault{cut: acrossNorth, away: inNorth}, wait: 20 * time.Second, north: true},
			"6 connected again":                {wait: 5 * time.Second},
		}
		for _, name := range sorted(steps) {
			c.set(steps[name].fault)
			time.Sleep(steps[name].wait)
			for _, n := range c.all() {
				want := steps[name].north && inNorth(n)
				if got := n.loop.View().Isolated("denied", limit); got != want {
					t.Errorf("%s: %s refuses: %v after %v", name, n.member.Name(), got, n.loop.View().Outside())
				}
				if n.loop.View().Isolated("kept", limit) {
					t.Errorf("%s: an organisation to be served is refused", name)
				}
			}
		}
	})
}

func acrossNorth(from, to *node) bool { return inNorth(from) != inNorth(to) }

func sorted[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TestRevisionsNeverGoBack follows the revisions of every daemon while the
// network and the store misbehave.
func TestRevisionsNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 9)
		defer c.close(t)
		settled(t, c, 24)
		last := map[*node]*conf.Config{}
		faults := map[string]fault{
			"a": {lost: 0.3, doubled: 0.3, delay: 2 * time.Second}, "b": {away: inNorth, cut: acrossNorth},
			"c": {}, "d": {stuck: true, delay: time.Second},
		}
		rev := model.Revision(0)
		for round := range 40 {
			c.set(faults[sorted(faults)[round%len(faults)]])
			if round%7 == 3 {
				c.store.SetFault(fake.NewSlow(300 * time.Millisecond))
			} else {
				c.store.SetFault(nil)
			}
			rev++
			c.commit(t, c.all()[1], rev, fmt.Sprintf("add org o%d rate 1 burst 1", rev))
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				for _, n := range c.all() {
					v := n.loop.View()
					if old := last[n]; old != nil && v.Config().Revision() < old.Revision() {
						t.Fatalf("%s went from %d to %d", n.member.Name(), old.Revision(), v.Config().Revision())
					}
					last[n] = v.Config()
				}
			}
		}
		c.set(fault{})
		if _, ok := await(c.all(), inForce, hasRevision(rev)); ok != 24 {
			t.Errorf("in force at %d of 24 at the end", ok)
		}
	})
}

// TestConfirmed counts at each watcher who has a revision in force, in its own
// failure domain and in the others, also while a daemon is silent.
func TestConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 10)
		defer c.close(t)
		settled(t, c, *size)
		each := *size / len(zones)
		confirmed := func(rev model.Revision, north int) func(*ctrl.View) bool {
			return func(v *ctrl.View) bool {
				for _, d := range zones {
					want := each
					if d == "north" {
						want = north
					}
					_, got, _ := v.Heard(d)
					if d == v.Self().Domain() {
						got = v.Covered()
					}
					if got.Daemons() != want || got.MinRevision() != rev {
						return false
					}
				}
				return true
			}
		}
		c.commit(t, c.all()[0], 1, "add org o rate 1 burst 1")
		if took, ok := await(watchers(c.all()), 20*time.Second, confirmed(1, each)); ok != 6 {
			t.Errorf("%d of 6 watchers see all confirmed after %v", ok, took)
		} else {
			t.Logf("confirmed after %v", took)
		}
		leaf := slices.IndexFunc(c.all(), func(n *node) bool {
			_, ok := n.loop.View().Watching()
			return inNorth(n) && !ok && n.loop.View().Covered().Daemons() == 1
		})
		c.all()[leaf].pause()
		c.commit(t, c.all()[1], 2, "add org p rate 1 burst 1")
		if took, ok := await(watchers(c.all()), 15*time.Second, confirmed(2, each-1)); ok != 6 {
			t.Errorf("%d of 6 watchers see that one is missing after %v", ok, took)
		}
	})
}
