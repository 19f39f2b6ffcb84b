package watch_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilstand/core/conf"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/fake"
	"anvilstand/io/watch"
)

// startSettled starts n daemons, waits until each knows all of them, and 5 s more.
func startSettled(t *testing.T, c *cluster, n int) {
	t.Helper()
	c.startNodes(n)
	if took, ok := await(c.all(), startupLimit, hasMembers(n)); ok != n {
		t.Fatalf("%d of %d daemons know all members after %v", ok, n, took)
	}
	time.Sleep(5 * time.Second)
}

// allNodes is a fault's predicate that selects every node.
func allNodes(*node) bool { return true }

// knows reports whether a member is known to a daemon as the same process.
func knows(m fleet.Member) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return slices.Contains(v.Members(), m) }
}

func forgot(m fleet.Member) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return !slices.Contains(v.Members(), m) }
}

// routesTo reports whether a daemon sends new requests to a member.
func routesTo(m fleet.Member) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return slices.Contains(v.Serving(m.Service()), m) }
}

func avoids(m fleet.Member) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return !routesTo(m)(v) }
}

func TestMembership(t *testing.T) {
	const n = 24
	cases := map[string]struct {
		do          func(*cluster, *node)
		within      time.Duration
		want        func(fleet.Member) func(*ctrl.View) bool
		minuteLater bool // check after a minute, to see that the state stays
	}{
		"leaving daemon gets no new requests": {
			do: func(_ *cluster, n *node) { n.loop.Post(ctrl.Leave{}) }, within: 3 * time.Second, want: avoids,
		},
		"crashed daemon is removed": {
			do: func(_ *cluster, n *node) { n.crash() }, within: 10 * time.Second, want: forgot,
		},
		"silent daemon is removed": {
			do: func(_ *cluster, n *node) { n.pause() }, within: 30 * time.Second, want: forgot,
		},
		"daemon that pauses for 5 s stays": {
			do: func(_ *cluster, n *node) { n.pause(); time.Sleep(5 * time.Second); n.resume() }, want: routesTo, minuteLater: true,
		},
		"silent daemon stays while the store is unreachable": {
			do: func(c *cluster, n *node) { c.setFault(fault{unreachable: allNodes}); n.pause() }, want: routesTo, minuteLater: true,
		},
		"crashed daemon gets no new requests while the store is unreachable": {
			do: func(c *cluster, n *node) { c.setFault(fault{unreachable: allNodes}); n.crash() }, within: 10 * time.Second, want: avoids,
		},
		"daemon removed by mistake returns": {
			do: func(_ *cluster, n *node) { n.pause(); time.Sleep(time.Minute); n.resume() }, within: 10 * time.Second, want: routesTo,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 2)
				defer c.close(t)
				startSettled(t, c, n)
				subject := c.all()[4]
				others := slices.DeleteFunc(c.all(), func(o *node) bool { return o == subject })
				tc.do(c, subject)
				if tc.minuteLater {
					time.Sleep(time.Minute)
				}
				took, ok := await(others, tc.within+time.Millisecond, tc.want(subject.member))
				if ok != len(others) {
					t.Errorf("%d of %d daemons agree after %v", ok, len(others), took)
				}
				t.Logf("all daemons agree after %v", took)
			})
		})
	}
}

// TestDuplicateName starts a second daemon under a name that is in use. Both are members
// and the name is reported, and a change reaches both.
func TestDuplicateName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 3)
		defer c.close(t)
		startSettled(t, c, 12)
		first := c.all()[4]
		second := c.start(4, 5004+1)
		if took, ok := await(c.all(), 20*time.Second, hasMembers(13)); ok != 13 {
			t.Fatalf("%d of 13 daemons know both after %v", ok, took)
		}
		time.Sleep(30 * time.Second)
		for _, n := range c.all() {
			v := n.loop.View()
			if !knows(first.member)(v) || !knows(second.member)(v) {
				t.Errorf("%s does not know both", n.member.Name())
			}
			if diff := cmp.Diff([]model.Instance{first.member.Name()}, v.DuplicateNames()); diff != "" {
				t.Error(diff)
			}
		}
		c.commit(t, first, 1, "add org o rate 1 burst 1")
		if took, ok := await(c.all(), propagationLimit, hasRevision(1)); ok != 13 {
			t.Errorf("revision 1 in force at %d of 13 daemons after %v", ok, took)
		}
	})
}

// TestStartWithoutStore starts daemons while the store is unreachable. They get the
// newest configuration and the members from a seed in another failure domain.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 4)
		defer c.close(t)
		startSettled(t, c, 12)
		for rev := model.Revision(1); rev <= 3; rev++ {
			c.commit(t, c.all()[0], rev, fmt.Sprintf("add org o%d rate 1 burst 1", rev))
		}
		await(c.all(), propagationLimit, hasRevision(3))
		c.setFault(fault{unreachable: allNodes})
		seed := c.all()[1].member.Address()
		for _, i := range []int{0, 3} {
			old := c.all()[i]
			old.crash()
			n := c.start(i, old.member.Incarnation()+500, seed)
			took, ok := await([]*node{n}, propagationLimit, func(v *ctrl.View) bool { return hasRevision(3)(v) && len(v.Members()) >= 12 })
			if ok != 1 {
				t.Fatalf("revision %d and %d members after %v", n.loop.View().Config().Revision(), len(n.loop.View().Members()), took)
			}
			t.Logf("configuration and members known after %v", took)
		}
	})
}

// TestRestart restarts three quarters of the daemons at once. Their store calls must stay
// within 1000 reads and 200 writes per second.
func TestRestart(t *testing.T) {
	for _, n := range []int{12, 60, *size} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 5)
				defer c.close(t)
				startSettled(t, c, n)
				reads0, writes0 := c.store.Calls()
				const steady = 30 * time.Second
				before := c.traffic()
				time.Sleep(steady)
				reads1, writes1 := c.store.Calls()
				logTraffic(t, before, c.traffic(), steady)
				t.Logf("%d daemons, steady: %.2f reads/s, %.2f writes/s", n, float64(reads1-reads0)/steady.Seconds(), float64(writes1-writes0)/steady.Seconds())
				restarted := c.all()[:n*3/4]
				for _, old := range restarted {
					old.crash()
				}
				for i := range restarted {
					c.start(i, model.Incarnation(5000+i))
				}
				reads, writes, took := peaks(c, func() bool { return allKnow(c, n) })
				t.Logf("restart of %d daemons: all known after %v, at most %d reads and %d writes in a second", len(restarted), took, reads, writes)
				if reads > 1000 || writes > 200 {
					t.Error("more than 1000 reads or 200 writes of the store in a second")
				}
				if !allKnow(c, n) {
					t.Error("not all daemons know the restarted members")
				}
			})
		})
	}
}

// logTraffic logs the messages and bytes per second that a daemon sends and receives, on
// average and at the busiest one. period is the time from before to after.
func logTraffic(t *testing.T, before, after map[*node]traffic, period time.Duration) {
	t.Helper()
	var sum, peak traffic
	for n, total := range after {
		messages, bytes := total.messages-before[n].messages, total.bytes-before[n].bytes
		sum.messages += messages
		sum.bytes += bytes
		peak = traffic{max(peak.messages, messages), max(peak.bytes, bytes)}
	}
	daemonSeconds := period.Seconds() * float64(len(after))
	t.Logf("a daemon sends and receives %.1f messages/s and %.0f bytes/s, the busiest %.1f and %.0f",
		float64(sum.messages)/daemonSeconds, float64(sum.bytes)/daemonSeconds,
		float64(peak.messages)/period.Seconds(), float64(peak.bytes)/period.Seconds())
}

// allKnow reports whether each running node knows n members, all of them processes that
// still run.
func allKnow(c *cluster, n int) bool {
	for _, each := range c.all() {
		members := each.loop.View().Members()
		if len(members) != n || slices.ContainsFunc(members, func(m fleet.Member) bool { return c.node(m) == nil }) {
			return false
		}
	}
	return true
}

// node returns the running node of a member, nil when its process has ended.
func (c *cluster) node(m fleet.Member) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[m.Address()]
	if n == nil || n.member != m {
		return nil
	}
	return n
}

// peaks waits until ok holds, two minutes at most, and returns the highest numbers of
// store calls in a second meanwhile.
func peaks(c *cluster, ok func() bool) (reads, writes uint64, took time.Duration) {
	start := time.Now()
	for !ok() && time.Since(start) < 2*time.Minute {
		reads0, writes0 := c.store.Calls()
		time.Sleep(time.Second)
		reads1, writes1 := c.store.Calls()
		reads, writes = max(reads, reads1-reads0), max(writes, writes1-writes0)
	}
	return reads, writes, time.Since(start)
}

// TestSnapshot commits many changes. A daemon that starts afterwards reads the newest
// snapshot and the entries after it, not the whole history.
func TestSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 6)
		defer c.close(t)
		startSettled(t, c, 3)
		const last = 2*watch.RevisionsPerSnapshot + 40
		for rev := model.Revision(1); rev <= last; rev++ {
			c.commit(t, c.all()[0], rev, fmt.Sprintf("add org o%d rate 1 burst 1", rev))
			await(c.all(), propagationLimit, hasRevision(rev))
			if rev%watch.RevisionsPerSnapshot == 0 {
				time.Sleep(10 * time.Second)
			}
		}
		for _, n := range c.all() {
			n.crash()
		}
		before, _ := c.store.Calls()
		n := c.start(0, 9000)
		took, ok := await([]*node{n}, startupLimit, hasRevision(last))
		after, _ := c.store.Calls()
		if ok != 1 {
			t.Fatalf("revision %d after %v", n.loop.View().Config().Revision(), took)
		}
		t.Logf("revision %d after %v and %d reads", last, took, after-before)
		if after-before > 2*watch.RevisionsPerSnapshot {
			t.Errorf("%d reads, want those of a snapshot and the entries after it", after-before)
		}
		old, err := watch.ConfigAt(c.ctx, n, 100)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(100, len(old.Orgs())); diff != "" {
			t.Error(diff)
		}
	})
}

// TestCorruptValues overwrites values in the store by ones that do not decode. Daemons keep
// the last good values, and the next change comes into force.
func TestCorruptValues(t *testing.T) {
	cases := map[string]struct {
		key   string
		value string
	}{
		"configuration":        {key: watch.EntryKey(2), value: "\xff\xff nonsense"},
		"members":              {key: watch.MemberListKey("south"), value: "nonsense"},
		"list of domains":      {key: "domains", value: "nonsense"},
		"pointer to snapshots": {key: "base", value: "nonsense"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 7)
				defer c.close(t)
				startSettled(t, c, 12)
				c.commit(t, c.all()[0], 1, "add org first rate 1 burst 1")
				await(c.all(), propagationLimit, hasRevision(1))
				item, _ := c.store.Get(c.ctx, tc.key)
				if _, err := c.store.Swap(c.ctx, tc.key, item.Version(), []byte(tc.value), 0); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				checkKept(t, c)
				c.commit(t, c.all()[0], 2, "add org second rate 1 burst 1")
				if took, ok := await(c.all(), propagationLimit, hasRevision(2)); ok != 12 {
					t.Errorf("next change in force at %d of 12 daemons after %v", ok, took)
				}
			})
		})
	}
}

// TestLaterVersionStays stores a member list of a later protocol version. The watchers
// must not replace it.
func TestLaterVersionStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 12)
		defer c.close(t)
		startSettled(t, c, 12)
		item, _ := c.store.Get(c.ctx, "fleet.south")
		later := bytes.Clone(item.Data())
		later[1] = codec.Version + 1
		version, err := c.store.Swap(c.ctx, "fleet.south", item.Version(), later, 0)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if item, _ = c.store.Get(c.ctx, "fleet.south"); item.Version() != version {
			t.Error("the list of a later protocol version was replaced")
		}
	})
}

// checkKept checks that all nodes still have revision 1 and 12 members.
func checkKept(t *testing.T, c *cluster) {
	t.Helper()
	for _, n := range c.all() {
		v := n.loop.View()
		if diff := cmp.Diff([]model.Org{"first"}, v.Config().Orgs()); diff != "" {
			t.Error(diff)
		}
		if len(v.Members()) != 12 {
			t.Errorf("%d members, want 12", len(v.Members()))
		}
	}
}

// TestIsolation cuts the domain north off from the store, from the other domains, and from
// both. Only in the last case, and only after the limit, its daemons must refuse the
// organisation that is denied during isolation.
func TestIsolation(t *testing.T) {
	const limit = 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 8)
		defer c.close(t)
		startSettled(t, c, 12)
		c.commit(t, c.all()[0], 1, "add org kept rate 1 burst 1; add org denied rate 1 burst 1 isolated deny")
		await(c.all(), propagationLimit, hasRevision(1))
		steps := map[string]struct {
			fault  fault
			wait   time.Duration
			denied bool // in north
		}{
			"1 connected":                             {wait: time.Minute},
			"2 store unreachable for all":             {fault: fault{unreachable: allNodes}, wait: time.Minute},
			"3 domain cut off from the others":        {fault: fault{partition: betweenNorthAndOthers}, wait: time.Minute},
			"4 cut off from store and domains, short": {fault: fault{partition: betweenNorthAndOthers, unreachable: isInNorth}, wait: 20 * time.Second},
			"5 cut off from store and domains, long":  {fault: fault{partition: betweenNorthAndOthers, unreachable: isInNorth}, wait: 20 * time.Second, denied: true},
			"6 connected again":                       {wait: 5 * time.Second},
		}
		for _, name := range sorted(steps) {
			c.setFault(steps[name].fault)
			time.Sleep(steps[name].wait)
			for _, n := range c.all() {
				want := steps[name].denied && isInNorth(n)
				if got := n.loop.View().RefusesIsolated("denied", limit); got != want {
					t.Errorf("%s: %s refuses org denied: %v, isolated for %v", name, n.member.Name(), got, n.loop.View().IsolatedFor())
				}
				if n.loop.View().RefusesIsolated("kept", limit) {
					t.Errorf("%s: org kept is refused", name)
				}
			}
		}
	})
}

func betweenNorthAndOthers(from, to *node) bool { return isInNorth(from) != isInNorth(to) }

func sorted[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TestRevisionsNeverGoBack checks that no daemon returns to an older revision during faults
// of the network and the store, and that the last change is in force everywhere at the end.
func TestRevisionsNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 9)
		defer c.close(t)
		startSettled(t, c, 24)
		last := map[*node]*conf.Config{}
		faults := map[string]fault{
			"a": {lossRate: 0.3, duplicateRate: 0.3, delay: 2 * time.Second}, "b": {unreachable: isInNorth, partition: betweenNorthAndOthers},
			"c": {}, "d": {watchStuck: true, delay: time.Second},
		}
		rev := model.Revision(0)
		for round := range 40 {
			c.setFault(faults[sorted(faults)[round%len(faults)]])
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
						t.Fatalf("%s went back from revision %d to %d", n.member.Name(), old.Revision(), v.Config().Revision())
					}
					last[n] = v.Config()
				}
			}
		}
		c.setFault(fault{})
		if _, ok := await(c.all(), propagationLimit, hasRevision(rev)); ok != 24 {
			t.Errorf("last revision in force at %d of 24 daemons", ok)
		}
	})
}

// TestCoverage checks that each watcher knows how many daemons of each failure domain have a
// revision in force, also while one daemon is silent.
func TestCoverage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 10)
		defer c.close(t)
		startSettled(t, c, *size)
		perDomain := *size / len(domains)
		covered := func(rev model.Revision, north int) func(*ctrl.View) bool {
			return func(v *ctrl.View) bool {
				for _, d := range domains {
					want := perDomain
					if d == "north" {
						want = north
					}
					_, got, _ := v.LastCoverage(d)
					if d == v.Self().Domain() {
						got = v.Coverage()
					}
					if got.Daemons() != want || got.MinRevision() != rev {
						return false
					}
				}
				return true
			}
		}
		c.commit(t, c.all()[0], 1, "add org o rate 1 burst 1")
		if took, ok := await(watchers(c.all()), 20*time.Second, covered(1, perDomain)); ok != 6 {
			t.Errorf("%d of 6 watchers know that all daemons have revision 1 after %v", ok, took)
		} else {
			t.Logf("all watchers know that all daemons have revision 1 after %v", took)
		}
		leaf := slices.IndexFunc(c.all(), func(n *node) bool {
			_, ok := n.loop.View().WatcherIndex()
			return isInNorth(n) && !ok && n.loop.View().Coverage().Daemons() == 1
		})
		c.all()[leaf].pause()
		c.commit(t, c.all()[1], 2, "add org p rate 1 burst 1")
		if took, ok := await(watchers(c.all()), 15*time.Second, covered(2, perDomain-1)); ok != 6 {
			t.Errorf("%d of 6 watchers know that one daemon lacks revision 2 after %v", ok, took)
		}
	})
}

// TestDamagedMemberList overwrites a member list by a value of which something does not
// decode. No daemon may lose a member by it, and the watchers must replace the value, so
// that daemons that start later read the list.
func TestDamagedMemberList(t *testing.T) {
	const key = "fleet.south"
	cases := map[string]func(list []byte) []byte{
		"nonsense":     func([]byte) []byte { return []byte("nonsense") },
		"nested value": func([]byte) []byte { return append(bytes.Repeat([]byte{0x81}, 500000), 1) },
		// The list of four entries gets a fifth one.
		"odd entry": func(list []byte) []byte {
			odd := append(bytes.Repeat([]byte{0x81}, 60000), 1)
			return append(append([]byte{list[0], list[1], list[2] + 1}, odd...), list[3:]...)
		},
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 11)
				defer c.close(t)
				startSettled(t, c, 12)
				item, _ := c.store.Get(c.ctx, key)
				if _, err := c.store.Swap(c.ctx, key, item.Version(), damage(item.Data()), 0); err != nil {
					t.Fatal(err)
				}
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					for _, n := range c.all() {
						if known := len(n.loop.View().Members()); known != 12 {
							t.Fatalf("%s knows %d members, want 12", n.member.Name(), known)
						}
					}
				}
				item, _ = c.store.Get(c.ctx, key)
				list, err := codec.DecodeMembers("south", item.Data())
				if err != nil || len(list) != 4 {
					t.Errorf("the stored list has %d members, want 4: %v", len(list), err)
				}
			})
		})
	}
}
