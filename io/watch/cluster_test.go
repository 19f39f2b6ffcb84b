package watch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"anvilstand/core/change"
	"anvilstand/core/fleet"
	"anvilstand/core/model"
	"anvilstand/core/peer"
	"anvilstand/io/codec"
	"anvilstand/io/ctrl"
	"anvilstand/io/fake"
	"anvilstand/io/store"
	"anvilstand/io/watch"
)

var domains = []model.Domain{"north", "south", "west"}

// cluster is a fleet of control loops with a fake store and a simulated network that
// can lose, delay, duplicate and cut off messages.
type cluster struct {
	mu    sync.Mutex
	ctx   context.Context
	group *errgroup.Group
	stop  context.CancelFunc
	rnd   *rand.Rand
	store fake.Store
	nodes map[string]*node
	fault fault
}

// fault is what is injected into the network and the store. The zero value is no
// fault.
type fault struct {
	lossRate, duplicateRate float64                   // of messages, from 0 to 1
	delay                   time.Duration             // upper bound of a random delay of each message
	partition               func(from, to *node) bool // reports whether messages are lost
	unreachable             func(*node) bool          // reports whether the node can't reach the store
	watchStuck              bool                      // watches end in store.ErrUnavailable after their timeout
}

// traffic counts the messages that a node sent and received, and their bytes.
type traffic struct{ messages, bytes uint64 }

func (c *cluster) traffic() map[*node]traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[*node]traffic{}
	for _, n := range c.nodes {
		all[n] = n.traffic
	}
	return all
}

func (tr *traffic) add(bytes int) {
	tr.messages++
	tr.bytes += uint64(bytes)
}

// node is one control loop with its access to the store and the network. It is the
// loop's ctrl.Sender and its store.Store.
type node struct {
	cluster *cluster
	member  fleet.Member
	loop    *ctrl.Loop
	paused  chan struct{} // closed at the end of a pause, nil outside of one
	traffic traffic
	stop    context.CancelFunc
	done    *errgroup.Group
}

func newCluster(ctx context.Context, seed uint64) *cluster {
	ctx, stop := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	return &cluster{ctx: ctx, group: g, stop: stop, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}}
}

// start starts node i as a process with the given incarnation. Seeds are addresses of
// other nodes.
func (c *cluster) start(i int, incarnation model.Incarnation, seeds ...string) *node {
	address := fmt.Sprintf("10.0.%d.%d:%d", i/250, i%250, 7000+incarnation%1000)
	m := fleet.NewMember(model.Instance(fmt.Sprintf("n-%04d", i)), domains[i%len(domains)], model.Service(fmt.Sprintf("s-%d", i%7)), address)
	n := &node{cluster: c, member: m.WithIncarnation(incarnation)}
	n.loop = ctrl.New(n.member, codec.Packer{}, seeds)
	ctx, stop := context.WithCancel(c.ctx)
	n.stop = stop
	n.done, ctx = errgroup.WithContext(ctx)
	n.done.Go(func() error { return n.loop.Run(ctx, n) })
	n.done.Go(func() error { return watch.Sync(ctx, n, n.loop, len(seeds) > 0) })
	c.mu.Lock()
	c.nodes[address] = n
	c.mu.Unlock()
	return n
}

func (c *cluster) startNodes(n int) {
	for i := range n {
		c.start(i, model.Incarnation(1000+i))
	}
}

func (c *cluster) close(t *testing.T) {
	t.Helper()
	c.stop()
	for _, n := range c.nodes {
		n.resume()
		if err := n.done.Wait(); err != nil {
			t.Error(err)
		}
	}
	time.Sleep(time.Minute)
}

// crash ends a node's process without a planned stop.
func (n *node) crash() {
	n.stop()
	_ = n.done.Wait()
	n.cluster.mu.Lock()
	delete(n.cluster.nodes, n.member.Address())
	n.cluster.mu.Unlock()
}

// pause stops the node's messages and store calls until resume.
func (n *node) pause() {
	n.cluster.mu.Lock()
	n.paused = make(chan struct{})
	n.cluster.mu.Unlock()
}

func (n *node) resume() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

// running returns a channel that is closed once the node is not paused.
func (n *node) running() chan struct{} {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.paused != nil {
		return n.paused
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// Send encodes a message and delivers it unless the fault says otherwise. A message to
// an address without a node gets a refused connection.
func (n *node) Send(address string, m peer.Message) bool {
	data, err := codec.EncodeMessage(m)
	if err != nil {
		panic(err)
	}
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	n.traffic.add(len(data))
	to := c.nodes[address]
	if to == nil {
		incarnation := n.recordedIncarnation(address)
		time.AfterFunc(time.Millisecond, func() { n.loop.Post(ctrl.NewProcessEnded(address, incarnation, fleet.Refused{})) })
		return true
	}
	if c.fault.partition != nil && c.fault.partition(n, to) || c.rnd.Float64() < c.fault.lossRate {
		return true
	}
	to.traffic.add(len(data))
	n.deliver(to, data)
	if c.rnd.Float64() < c.fault.duplicateRate {
		n.deliver(to, data)
	}
	return true
}

// recordedIncarnation returns the incarnation of the member that the node knows at an
// address.
func (n *node) recordedIncarnation(address string) model.Incarnation {
	m, _ := fleet.FindByAddress(n.loop.View().Members(), address)
	return m.Incarnation()
}

// deliver hands a message to its receiver after a random delay. While either end is
// paused, the message waits.
func (n *node) deliver(to *node, data []byte) {
	delay := time.Millisecond/2 + time.Duration(n.cluster.rnd.Int64N(int64(time.Millisecond+n.cluster.fault.delay)))
	time.AfterFunc(delay, func() {
		<-n.running()
		<-to.running()
		m, err := codec.DecodeMessage(data)
		if err != nil {
			panic(err)
		}
		to.loop.Post(ctrl.NewMessageReceived(peer.NewEnvelope(n.member.Name(), m).WithIncarnation(n.member.Incarnation()).WithAddress(n.member.Address())))
	})
}

// callStore takes the time of a store call, and returns store.ErrUnavailable when the fault
// makes the store unreachable for the node.
func (n *node) callStore() error {
	<-n.running()
	time.Sleep(2 * time.Millisecond)
	n.cluster.mu.Lock()
	unreachable := n.cluster.fault.unreachable
	n.cluster.mu.Unlock()
	if unreachable != nil && unreachable(n) {
		return store.ErrUnavailable
	}
	return nil
}

// Get reads a key of the cluster's store.
func (n *node) Get(ctx context.Context, key string) (store.Item, error) {
	if err := n.callStore(); err != nil {
		return store.Item{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, store.CallTimeout)
	defer cancel()
	return n.cluster.store.Get(ctx, key)
}

// Swap writes a key of the cluster's store.
func (n *node) Swap(ctx context.Context, key string, version uint64, data []byte, lease time.Duration) (uint64, error) {
	if err := n.callStore(); err != nil {
		return 0, err
	}
	return n.cluster.store.Swap(ctx, key, version, data, lease)
}

// Watch waits for a key of the cluster's store to change.
func (n *node) Watch(ctx context.Context, key string, version uint64) (store.Item, error) {
	if err := n.callStore(); err != nil {
		return store.Item{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, store.WatchTimeout)
	defer cancel()
	if n.cluster.isWatchStuck() {
		<-ctx.Done()
		return store.Item{}, store.ErrUnavailable
	}
	return n.cluster.store.Watch(ctx, key, version)
}

func (c *cluster) isWatchStuck() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault.watchStuck
}

func (c *cluster) setFault(f fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// all returns the running nodes in the order of their incarnations.
func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for _, n := range c.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *node) int { return int(a.member.Incarnation()) - int(b.member.Incarnation()) })
	return list
}

// await waits until ok holds for the views of all nodes, limit at most. It returns how
// long that took and for how many nodes ok holds.
func await(nodes []*node, limit time.Duration, ok func(*ctrl.View) bool) (time.Duration, int) {
	start := time.Now()
	for {
		count := 0
		for _, n := range nodes {
			if ok(n.loop.View()) {
				count++
			}
		}
		if elapsed := time.Since(start); count == len(nodes) || elapsed >= limit {
			return elapsed, count
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// commit commits a change as revision rev through a node's store.
func (c *cluster) commit(t *testing.T, n *node, rev model.Revision, text string) {
	t.Helper()
	batch, err := change.ParseChanges(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := watch.Commit(c.ctx, n, change.NewEntry(rev, model.Op(fmt.Sprint("op", rev)), "ana", 0, batch)); err != nil {
		t.Fatal(err)
	}
}

func hasRevision(rev model.Revision) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return v.Config().Revision() >= rev }
}

func hasMembers(n int) func(*ctrl.View) bool {
	return func(v *ctrl.View) bool { return len(v.Members()) == n }
}

// watchers returns the nodes that are watchers.
func watchers(nodes []*node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool {
		_, ok := n.loop.View().WatcherIndex()
		return !ok
	})
}
