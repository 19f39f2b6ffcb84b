package watch_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"anvilstand/core/model"
	"anvilstand/io/fake"
)

// inForce is the time within which a change is in force at every daemon that
// can be reached.
const inForce = 5 * time.Second

// size is the number of daemons of the cases with a fault, enough for two
// levels of the tree in each failure domain.
var size = flag.Int("size", 108, "daemons of the cases with a fault")

// startup bounds the start of a whole fleet.
const startup = time.Minute

func TestSpread(t *testing.T) {
	all := func(nodes []*node) []*node { return nodes }
	cases := map[string]struct {
		nodes  int
		fault  func(*cluster, []*node) fault
		expect func([]*node) []*node
	}{
		"12":       {nodes: 12},
		"100":      {nodes: 100},
		"no fault": {},
		"watch stuck": {fault: func(*cluster, []*node) fault {
			return fault{stuck: true}
		}},
		"store slow": {fault: func(c *cluster, _ []*node) fault {
			c.store.SetFault(fake.NewSlow(500 * time.Millisecond))
			return fault{}
		}},
		"messages lost, doubled and out of order": {fault: func(*cluster, []*node) fault {
			return fault{lost: 0.2, doubled: 0.2, delay: 300 * time.Millisecond}
		}},
		"a watcher of each domain paused": {fault: func(_ *cluster, nodes []*node) fault {
			paused := map[model.Domain]bool{}
			for _, n := range watchers(nodes) {
				if !paused[n.member.Domain()] {
					paused[n.member.Domain()] = true
					n.pause()
				}
			}
			return fault{}
		}, expect: unpaused},
		"all watchers paused": {fault: func(_ *cluster, nodes []*node) fault {
			for _, n := range watchers(nodes) {
				n.pause()
			}
			return fault{}
		}, expect: unpaused},
		"all watchers crash": {fault: func(_ *cluster, nodes []*node) fault {
			for _, n := range watchers(nodes) {
				n.crash()
			}
			return fault{}
		}, expect: func(nodes []*node) []*node { return nodes }},
		"a domain cut off from the store": {fault: func(*cluster, []*node) fault {
			return fault{away: inNorth}
		}},
		"a domain hears the others and is not heard": {fault: func(*cluster, []*node) fault {
			return fault{cut: func(from, to *node) bool { return inNorth(from) && !inNorth(to) }}
		}},
		"domains cut off from each other": {fault: func(*cluster, []*node) fault {
			return fault{cut: func(from, to *node) bool { return from.member.Domain() != to.member.Domain() }}
		}},
		"a domain cut off from all": {fault: func(*cluster, []*node) fault {
			return fault{away: inNorth, cut: func(from, to *node) bool { return inNorth(from) != inNorth(to) }}
		}, expect: func(nodes []*node) []*node {
			var list []*node
			for _, n := range nodes {
				if !inNorth(n) {
					list = append(list, n)
				}
			}
			return list
		}},
	}
	for name, tc := range cases {
		if tc.expect == nil {
			tc.expect = all
		}
		if tc.nodes == 0 {
			tc.nodes = *size
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t.Context(), 1)
				defer c.close(t)
				c.startAll(tc.nodes)
				took, ok := await(c.all(), startup, hasMembers(tc.nodes))
				if ok != tc.nodes {
					t.Fatalf("%d of %d know the fleet after %v", ok, tc.nodes, took)
				}
				t.Logf("the fleet is known after %v, %d watchers", took, len(watchers(c.all())))
				time.Sleep(5 * time.Second)
				if tc.fault != nil {
					c.set(tc.fault(c, c.all()))
				}
				nodes := tc.expect(c.all())
				worst := time.Duration(0)
				for rev := model.Revision(1); rev <= 3; rev++ {
					c.commit(t, writer(nodes), rev, fmt.Sprintf("add org o%d rate 1 burst 1", rev))
					took, ok := await(nodes, 2*inForce, hasRevision(rev))
					worst = max(worst, took)
					if ok != len(nodes) || took > inForce {
						t.Errorf("revision %d is in force at %d of %d after %v", rev, ok, len(nodes), took)
					}
				}
				t.Logf("in force at %d daemons within %v", len(nodes), worst)
			})
		})
	}
}

func inNorth(n *node) bool { return n.member.Domain() == "north" }

// writer returns a node that reaches the store.
func writer(nodes []*node) *node {
	for _, n := range nodes {
		if !inNorth(n) {
			return n
		}
	}
	return nodes[0]
}

func unpaused(nodes []*node) []*node {
	var list []*node
	for _, n := range nodes {
		if n.paused == nil {
			list = append(list, n)
		}
	}
	return list
}
