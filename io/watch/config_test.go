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

// propagationLimit is the time within which a change must be in force at every daemon
// that can be reached.
const propagationLimit = 5 * time.Second

// size is the number of daemons in the cases with a fault. The default is enough for two
// levels of the gossip tree in each failure domain.
var size = flag.Int("size", 108, "number of daemons in the cases with a fault")

// startupLimit is the time within which all daemons of a starting fleet must know each
// other.
const startupLimit = time.Minute

// TestConfigPropagation commits three changes during a fault. Each must be in force within
// propagationLimit at every daemon that it can reach through the store or through peers.
func TestConfigPropagation(t *testing.T) {
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
			return fault{watchStuck: true}
		}},
		"store slow": {fault: func(c *cluster, _ []*node) fault {
			c.store.SetFault(fake.NewSlow(500 * time.Millisecond))
			return fault{}
		}},
		"messages lost, duplicated and out of order": {fault: func(*cluster, []*node) fault {
			return fault{lossRate: 0.2, duplicateRate: 0.2, delay: 300 * time.Millisecond}
		}},
		"one watcher of each domain paused": {fault: func(_ *cluster, nodes []*node) fault {
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
		"domain cut off from the store": {fault: func(*cluster, []*node) fault {
			return fault{unreachable: isInNorth}
		}},
		"domain receives from the others, but its messages are lost": {fault: func(*cluster, []*node) fault {
			return fault{partition: func(from, to *node) bool { return isInNorth(from) && !isInNorth(to) }}
		}},
		"domains cut off from each other": {fault: func(*cluster, []*node) fault {
			return fault{partition: func(from, to *node) bool { return from.member.Domain() != to.member.Domain() }}
		}},
		"domain cut off from the store and the other domains": {fault: func(*cluster, []*node) fault {
			return fault{unreachable: isInNorth, partition: func(from, to *node) bool { return isInNorth(from) != isInNorth(to) }}
		}, expect: func(nodes []*node) []*node {
			var list []*node
			for _, n := range nodes {
				if !isInNorth(n) {
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
				c.startNodes(tc.nodes)
				took, ok := await(c.all(), startupLimit, hasMembers(tc.nodes))
				if ok != tc.nodes {
					t.Fatalf("%d of %d daemons know all members after %v", ok, tc.nodes, took)
				}
				t.Logf("all members known after %v, %d watchers", took, len(watchers(c.all())))
				time.Sleep(5 * time.Second)
				if tc.fault != nil {
					c.setFault(tc.fault(c, c.all()))
				}
				nodes := tc.expect(c.all())
				slowest := time.Duration(0)
				for rev := model.Revision(1); rev <= 3; rev++ {
					c.commit(t, writer(nodes), rev, fmt.Sprintf("add org o%d rate 1 burst 1", rev))
					took, ok := await(nodes, 2*propagationLimit, hasRevision(rev))
					slowest = max(slowest, took)
					if ok != len(nodes) || took > propagationLimit {
						t.Errorf("revision %d in force at %d of %d daemons after %v", rev, ok, len(nodes), took)
					}
				}
				t.Logf("in force at %d daemons within %v", len(nodes), slowest)
			})
		})
	}
}

func isInNorth(n *node) bool { return n.member.Domain() == "north" }

// writer returns a node that reaches the store during every fault, one outside north, if
// there is any.
func writer(nodes []*node) *node {
	for _, n := range nodes {
		if !isInNorth(n) {
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
